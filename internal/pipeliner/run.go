package pipeliner

// A request that was sent behind another is started at once, so that a slow request does not delay the later ones.
// Answers are sent in the order of the requests, so an early answer is buffered until the earlier ones are sent. The
// handler of an answer larger than the buffer blocks until the request's turn.
//
// Example: idempotent requests a (900 ms) and b (20 ms) are sent together; b's answer is ready after 20 ms and is sent
// after a's.

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// maxPendingBytes bounds how much of an answer is buffered before its turn; usual answers have 400 to 6,000 bytes.
const maxPendingBytes = 64 << 10

// run is a request that was started ahead of its turn.
type run struct {
	// headBytesLeft is how many bytes of the request's head have not been given to the server.
	headBytesLeft int
	// cost is what the request's head takes once it is parsed, which the queue holds until its turn.
	cost int64
	// holdsAhead is whether no further request may be started behind this one; the connection's lock guards it.
	holdsAhead bool
	// done is closed when the handler has returned; aborted is whether it ended by a panic.
	done    chan struct{}
	aborted bool

	mu       sync.Mutex
	turnCond *sync.Cond
	// writer is the server's writer, nil until the request's turn.
	writer     http.ResponseWriter
	callerLeft bool
	header     http.Header
	status     int
	pending    bytes.Buffer
	// memory is the pool from which room for pending is taken, held how much has been.
	memory  *reserver.Pool
	held    int64
	cancel  context.CancelFunc
	request *http.Request
}

// queue holds the runs whose turn has not come, in the order of their requests.
type queue struct {
	runs []*run
	// coveredBytes is how many of the connection's readAhead bytes belong to the runs' requests.
	coveredBytes int
	// heldBytes is the sum of the runs' costs.
	heldBytes int64
}

func (q *queue) len() int {
	return len(q.runs)
}

func (q *queue) add(r *run) {
	q.runs = append(q.runs, r)
	q.coveredBytes += r.headBytesLeft
}

// consume counts bytes given to the server; it returns the run whose request they complete, nil if none.
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
	q.heldBytes -= first.cost
	return first
}

// holdsAhead returns whether no further request may be started behind one of the runs.
func (q *queue) holdsAhead() bool {
	return slices.ContainsFunc(q.runs, func(r *run) bool { return r.holdsAhead })
}

// contains returns whether r is a run whose turn has not come.
func (q *queue) contains(r *run) bool {
	return slices.Contains(q.runs, r)
}

// parseHead parses a head as net/http's server does. Requests with a body or an unusual head are left to the server.
func parseHead(head []byte) (*http.Request, bool) {
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ContentLength != 0 || request.Host == "" || !request.ProtoAtLeast(1, 1) {
		return nil, false
	}
	_, expects := request.Header["Expect"]
	return request, !expects && request.Method != http.MethodConnect
}

// startRun runs a request's handler concurrently with the request whose turn it is; the caller holds the connection's lock.
func (c *connection) startRun(request *http.Request, size int, cost int64) *run {
	ctx, cancel := context.WithCancel(c.context)
	r := &run{
		headBytesLeft: size, cost: cost, done: make(chan struct{}), header: http.Header{}, cancel: cancel, memory: c.pipeliner.options.Memory,
	}
	r.turnCond = sync.NewCond(&r.mu)
	r.request = request.WithContext(context.WithValue(ctx, positionKey{}, position{connection: c, run: r}))
	r.request.RemoteAddr = c.RemoteAddr().String()
	context.AfterFunc(ctx, r.noteCallerLeft)
	go r.work(c.pipeliner.options.Handler)
	return r
}

func (r *run) work(h http.Handler) {
	defer func() {
		// A handler aborts its answer by a panic; answer repeats it for the server at the request's turn.
		r.aborted = recover() != nil
		close(r.done)
	}()
	h.ServeHTTP(r, r.request)
}

// noteCallerLeft unblocks a handler that waits for the request's turn, since the caller has left.
func (r *run) noteCallerLeft() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callerLeft = true
	r.releasePending()
	r.turnCond.Broadcast()
}

// releasePending gives back the memory of what is buffered, which is not sent any more; the caller holds the lock.
func (r *run) releasePending() {
	r.pending = bytes.Buffer{}
	r.memory.Give(r.held)
	r.held = 0
}

// answer sends the answer once the request's turn has come, and waits until the handler has returned.
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

// send writes the header and the buffered body; the caller holds the lock.
func (r *run) send() {
	to := r.writer.Header()
	for name, values := range r.header {
		to[name] = values
	}
	r.writer.WriteHeader(r.status)
	// The server itself detects that the caller has left.
	_, _ = r.writer.Write(r.pending.Bytes())
	r.releasePending()
}

// Header returns the answer's header.
func (r *run) Header() http.Header {
	return r.header
}

// WriteHeader sets the answer's status.
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

// Write sends a part of the body, or buffers it until the request's turn.
func (r *run) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(http.StatusOK)
	for r.writer == nil && !r.callerLeft && !r.mayBuffer(len(p)) {
		r.turnCond.Wait()
	}
	switch {
	case r.writer != nil:
		return r.writer.Write(p)
	case r.callerLeft:
		return 0, http.ErrAbortHandler
	}
	return r.pending.Write(p)
}

// mayBuffer returns whether n more bytes of the answer may be buffered, and reserves memory for them; the caller holds the lock.
func (r *run) mayBuffer(n int) bool {
	if r.pending.Len()+n > maxPendingBytes || r.memory.Take(int64(n)) != nil {
		return false
	}
	r.held += int64(n)
	return true
}

// Flush sends what was written, once the request's turn has come.
func (r *run) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writer == nil || r.status == 0 {
		return
	}
	// A writer that cannot flush keeps its data buffered, which is not an error.
	_ = http.NewResponseController(r.writer).Flush()
}
