package pipeliner

// A request that was sent behind another is begun at once, so that a slow one does not make those behind it late. Its answer
// is kept until those before it are sent: answers go out in the order of the requests. An answer that is larger than
// what is kept waits, unwritten, for its turn.
//
// Example: lookups a (900 ms) and b (20 ms) are sent together; b's answer is there after 20 ms, and sent after a's.

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"sync"
)

// maxPendingBytes bounds what is kept of an answer before its turn; ordinary ones have 400 to 6,000 bytes.
const maxPendingBytes = 64 << 10

// run is a request that was begun ahead of its turn.
type run struct {
	// cancel is how many bytes of the request's head have not been handed to the server.
	headBytesLeft int
	// done is closed when the handler has returned; cut tells that it broke the answer off.
	done    chan struct{}
	aborted bool

	mu       sync.Mutex
	turnCond *sync.Cond
	// writer is where the answer goes, from the request's turn on.
	writer     http.ResponseWriter
	callerLeft bool
	header     http.Header
	status     int
	pending    bytes.Buffer
	cancel     context.CancelFunc
	request    *http.Request
}

// queue holds the runs whose turn is to come, in the order of their requests.
type queue struct {
	runs []*run
	// coveredBytes is how many of the gathered bytes are the runs' requests.
	coveredBytes int
}

func (q *queue) len() int {
	return len(q.runs)
}

func (q *queue) add(r *run) {
	q.runs = append(q.runs, r)
	q.coveredBytes += r.headBytesLeft
}

// consume notes bytes that the server was given; it returns the run whose request they complete, nil for none.
func (q *queue) consume(n int) *run {
	if len(q.runs) == 0 {
		return nil
	}
	first := q.runs[0]
	first.headBytesLeft -= n
	q.coveredBytes -= n
	if first.headBytesLeft > 0 {
		return nil
	}
	q.runs = q.runs[1:]
	return first
}

// countBehind returns how many runs come after one; all do that wait after one whose turn has come, or after nil.
func (q *queue) countBehind(r *run) int {
	for i, other := range q.runs {
		if other == r {
			return len(q.runs) - i - 1
		}
	}
	return len(q.runs)
}

// parseHead reads a head as the standard server does. What has a body, or is not plainly in order, waits for the server.
func parseHead(head []byte) (*http.Request, bool) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ContentLength != 0 || request.Host == "" || !request.ProtoAtLeast(1, 1) {
		return nil, false
	}
	_, expects := request.Header["Expect"]
	return request, !expects && request.Method != http.MethodConnect
}

// startRun runs a request's handler beside the one whose turn it is; the caller holds the connection's lock.
func (c *connection) startRun(request *http.Request, size int) *run {
	ctx, cancel := context.WithCancel(c.context)
	r := &run{headBytesLeft: size, done: make(chan struct{}), header: http.Header{}, cancel: cancel}
	r.turnCond = sync.NewCond(&r.mu)
	r.request = request.WithContext(context.WithValue(ctx, positionKey{}, position{connection: c, run: r}))
	r.request.RemoteAddr = c.RemoteAddr().String()
	context.AfterFunc(ctx, r.noteCallerLeft)
	go r.work(c.options.Handler)
	return r
}

func (r *run) work(h http.Handler) {
	defer func() {
		// A handler breaks an answer off by a panic, which is the server's to see at the request's turn.
		r.aborted = recover() != nil
		close(r.done)
	}()
	h.ServeHTTP(r, r.request)
}

// noteCallerLeft lets an answer go that waits for its turn, since the caller has left.
func (r *run) noteCallerLeft() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callerLeft = true
	r.turnCond.Broadcast()
}

// answer sends the answer when the request's turn has come, and waits for its end.
func (r *run) answer(w http.ResponseWriter) {
	r.mu.Lock()
	r.writer = w
	if r.status != 0 {
		r.send()
	}
	r.turnCond.Broadcast()
	r.mu.Unlock()
	<-r.done
	r.cancel()
	if r.aborted {
		panic(http.ErrAbortHandler)
	}
}

// send writes what is kept; the caller holds the lock.
func (r *run) send() {
	to := r.writer.Header()
	for name, values := range r.header {
		to[name] = values
	}
	r.writer.WriteHeader(r.status)
	// A caller that has gone is seen by the server.
	_, _ = r.writer.Write(r.pending.Bytes())
	r.pending.Reset()
}

// Header returns the answer's header.
func (r *run) Header() http.Header {
	return r.header
}

// WriteHeader fixes the answer's status and header.
func (r *run) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(status)
}

func (r *run) writeHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	if r.writer != nil {
		r.send()
	}
}

// Write sends a part of the body, or keeps it until the request's turn.
func (r *run) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(http.StatusOK)
	for r.writer == nil && r.pending.Len()+len(p) > maxPendingBytes {
		if r.callerLeft {
			return 0, http.ErrAbortHandler
		}
		r.turnCond.Wait()
	}
	if r.writer != nil {
		return r.writer.Write(p)
	}
	return r.pending.Write(p)
}

// Flush passes on what was written, from the request's turn on.
func (r *run) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer == nil || r.status == 0 {
		return
	}
	// A server without flushing keeps what was written, which is no error.
	_ = http.NewResponseController(r.writer).Flush()
}
