package requester

// The standard HTTP client retries some requests on its own and hides the connection that an answer came from. This
// client sends each request exactly once and reports whether it may have run.
//
// Example: response, err := c.Do(ctx, "10.1.0.9:8080", request); defer response.Close()

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Client sends requests over pooled connections; it is safe for concurrent use.
type Client struct {
	options Options
	pool    *pool
	seed    maphash.Seed
	dials   atomic.Int64
	// passedOver counts the idle connections that were not used for a request because they had carried it.
	passedOver atomic.Int64
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{options: o, pool: newPool(o.MaxIdle), seed: maphash.MakeSeed()}
}

// Dials returns how many connections the client has tried to open.
func (c *Client) Dials() int64 {
	return c.dials.Load()
}

// PassedOver returns how often an idle connection was not used for a request because it had carried it before.
func (c *Client) PassedOver() int64 {
	return c.passedOver.Load()
}

// Expire closes the connections whose idle time has passed.
func (c *Client) Expire() {
	c.pool.expire(c.options.Now())
}

// CloseIdle closes all idle connections to an address, for instance after its server has failed.
func (c *Client) CloseIdle(address string) {
	c.pool.closeIdle(address)
}

// Response is an answer whose body has not been read yet.
type Response struct {
	*http.Response
	client *Client
	conn   *conn
	// stop ends the watch of the context; it returns false if the context's end has already aborted the connection.
	stop func() bool
	// sending is the sending of the request's body, nil if there is none to send; ended is the end of the exchange's context.
	sending *sending
	ended   <-chan struct{}
	// requestBodyAllowed is false if the server answered the head with a status other than 100 Continue.
	requestBodyAllowed bool
	closed             bool
	// framed is set if the head states where the answer's body ends.
	framed bool
}

// Do sends a request and returns the head of its answer. The context covers the exchange until the body has been read.
func (c *Client) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	key := c.keyOf(r.ID)
	n, err := c.connect(ctx, address, r, key)
	if err != nil {
		return nil, err
	}
	n.traffic.Store(r.Traffic)
	stop := context.AfterFunc(ctx, n.abort)
	n.sent.add(sentRequest{key: key, until: r.SentUntil}, c.options.Now())
	response, err := c.exchange(n, r)
	if err != nil {
		stop()
		n.abort()
		c.reportBound(n, r, err)
		if failed := n.bodyFailed.Load(); failed != nil {
			err = *failed
		}
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, SentError{Address: address, Cause: err}
	}
	response.client = c
	response.stop = stop
	response.ended = ctx.Done()
	return response, nil
}

// Sending returns whether the request's body is still being sent, since the server has answered early.
func (r *Response) Sending() bool {
	return r.sending != nil && !r.sending.hasEnded()
}

// AwaitSent waits until the request's body has been sent, could not be sent, or the exchange's context has ended.
func (r *Response) AwaitSent() {
	if r.sending == nil {
		return
	}
	select {
	case <-r.sending.done:
	case <-r.ended:
	}
}

// sending is the sending of a request's body; err is set before done is closed.
type sending struct {
	done chan struct{}
	err  error
}

func (s *sending) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (c *Client) connect(ctx context.Context, address string, r *Request, k requestKey) (*conn, error) {
	if r.NewConnection {
		return c.open(ctx, address)
	}
	n, passedOver := c.pool.take(address, k, c.options.Now())
	c.passedOver.Add(int64(passedOver))
	if n != nil {
		return n, nil
	}
	return c.open(ctx, address)
}

func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	c.dials.Add(1)
	opened, err := Dial(ctx, address, c.options.DialTimeout.Std())
	if err != nil {
		return nil, DialError{Address: address, Cause: err}
	}
	c.options.Connections.Add(1)
	n := &conn{Conn: opened, count: c.options.Connections, address: address, ackTimeout: AckTimeout}
	n.headLeft.Store(unboundedHead)
	n.reader = bufio.NewReaderSize(n, readBuffer)
	n.writer = bufio.NewWriterSize(n, writeBuffer)
	return n, nil
}

func (c *Client) exchange(n *conn, r *Request) (*Response, error) {
	if err := n.prepareFor(r); err != nil {
		return nil, err
	}
	writeHead(n.writer, r)
	var sent *sending
	switch {
	case r.Body == nil:
		if err := n.writer.Flush(); err != nil {
			return nil, err
		}
	case r.ExpectContinue:
		if err := n.writer.Flush(); err != nil {
			return nil, err
		}
		first, err := readHead(n, r)
		if err != nil || first.StatusCode != http.StatusContinue {
			return c.response(n, first, nil, false), err
		}
		sent = sendBody(n, r)
	default:
		sent = sendBody(n, r)
	}
	for range maxDroppedAnswers + 1 {
		head, err := readFinalHead(n, r)
		if err != nil {
			return nil, err
		}
		if c.belongsTo(head, r) {
			return c.response(n, head, sent, true), nil
		}
		c.reportDropped(n, r, head)
		// A late answer to an earlier request on this connection; the answer to this request may follow it.
		if err := skipBody(head); err != nil {
			return nil, err
		}
	}
	return nil, BoundError{Bound: "droppedAnswers", Limit: maxDroppedAnswers}
}

func (c *Client) reportBound(n *conn, r *Request, err error) {
	var exceeded BoundError
	if c.options.BoundExceeded != nil && errors.As(err, &exceeded) {
		c.options.BoundExceeded(ExceededBound{BoundError: exceeded, Connection: n.LocalAddr().String(), Address: n.address, ID: r.ID})
	}
}

// skipBody reads the body of an answer to another request, up to the beginning of the next answer.
func skipBody(head *http.Response) error {
	if !isFramed(head) || head.ContentLength > maxStrayBytes {
		return errStray
	}
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxStrayBytes+1))
	if err != nil {
		return fmt.Errorf("read an answer to another request: %w", err)
	}
	if n > maxStrayBytes {
		return errStray
	}
	return nil
}

// isFramed returns whether an answer's head states where its body ends.
func isFramed(head *http.Response) bool {
	return head.ContentLength >= 0 || len(head.TransferEncoding) > 0
}

// belongsTo returns whether an answer is one to the request under way on its connection.
func (c *Client) belongsTo(head *http.Response, r *Request) bool {
	return c.options.IDField == "" || r.NewConnection || head.Header.Get(c.options.IDField) == r.ID
}

func (c *Client) reportDropped(n *conn, r *Request, head *http.Response) {
	if c.options.AnswerDropped == nil {
		return
	}
	got := head.Header.Get(c.options.IDField)
	c.options.AnswerDropped(DroppedAnswer{
		Connection: n.LocalAddr().String(), Awaited: r.ID, Got: got, Status: head.StatusCode,
		Known: n.sent.contains(c.keyOf(got)),
	})
}

// maxDroppedAnswers is how many answers to other requests may come before the right one.
const maxDroppedAnswers = 16

// maxStrayBytes is the longest answer to another request that is read and dropped to reach the right one.
const maxStrayBytes = 256 << 10

var errStray = errors.New("answer belongs to another request")

func (c *Client) response(n *conn, head *http.Response, sent *sending, requestBodyAllowed bool) *Response {
	if head == nil {
		return nil
	}
	return &Response{
		Response:           head,
		conn:               n,
		sending:            sent,
		requestBodyAllowed: requestBodyAllowed,
		framed:             isFramed(head),
	}
}

func writeHead(w *bufio.Writer, r *Request) {
	// The writer keeps its first error and returns it from Flush.
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.URI)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(value)
			_, _ = w.WriteString("\r\n")
		}
	}
	switch {
	case r.Body != nil && r.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Body != nil:
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(r.Length, 10))
		_, _ = w.WriteString("\r\n")
	}
	if r.ExpectContinue && r.Body != nil {
		_, _ = w.WriteString("Expect: 100-continue\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// maxInlineBodyBytes is the largest body that is sent before the answer is read. It fits into the socket's buffers, so
// sending cannot block on a server that answers without reading.
const maxInlineBodyBytes = 8 << 10

// sendBody sends a long body concurrently with the reading of the answer, since a server may answer before it has read
// all of it. If the body can't be read to its end, the connection is reset; otherwise the server would wait for the rest
// until its timeout.
func sendBody(n *conn, r *Request) *sending {
	s := &sending{done: make(chan struct{})}
	send := func() {
		defer close(s.done)
		body := &errorRecordingBody{Reader: r.Body}
		err := writeBody(n.writer, body, r.Length)
		if body.err != nil {
			n.bodyFailed.Store(&BodyError{Cause: body.err})
			n.abort()
		}
		s.err = err
	}
	if r.Length >= 0 && r.Length <= maxInlineBodyBytes {
		send()
	} else {
		go send()
	}
	return s
}

// errorRecordingBody records the error that ended the reading of a body early.
type errorRecordingBody struct {
	io.Reader
	err error
}

// Read reads from the body.
func (b *errorRecordingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

func writeBody(w *bufio.Writer, body io.Reader, length int64) error {
	if length < 0 {
		return writeChunks(w, body)
	}
	sent, err := io.Copy(w, io.LimitReader(body, length))
	if err != nil {
		return err
	}
	if sent < length {
		return io.ErrUnexpectedEOF
	}
	return w.Flush()
}

func writeChunks(w *bufio.Writer, body io.Reader) error {
	buffer := make([]byte, writeBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_, _ = fmt.Fprintf(w, "%x\r\n", n)
			_, _ = w.Write(buffer[:n])
			_, _ = w.WriteString("\r\n")
			if flushed := w.Flush(); flushed != nil {
				return flushed
			}
		}
		if err == io.EOF {
			_, _ = w.WriteString("0\r\n\r\n")
			return w.Flush()
		}
		if err != nil {
			return err
		}
	}
}

// readHead reads a status line and a head of at most MaxHeadBytes.
func readHead(n *conn, r *Request) (*http.Response, error) {
	n.headLeft.Store(MaxHeadBytes)
	defer n.headLeft.Store(unboundedHead)
	head, err := http.ReadResponse(n.reader, &http.Request{Method: r.Method})
	if err != nil && n.headLeft.Load() == 0 {
		return nil, BoundError{Bound: "head", Limit: MaxHeadBytes}
	}
	return head, err
}

func readFinalHead(n *conn, r *Request) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		head, err := readHead(n, r)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK || head.StatusCode == http.StatusSwitchingProtocols {
			return head, nil
		}
	}
	return nil, BoundError{Bound: "interimAnswers", Limit: maxInterimAnswers}
}

// Close ends the exchange; readToEnd states whether the answer's body was read to its end. The connection returns to the
// pool only if request and answer are complete and it may be reused.
func (r *Response) Close(readToEnd bool) {
	if r.closed {
		return
	}
	r.closed = true
	cancelled := !r.stop()
	crowded := r.client.options.Connections.Crowded()
	reusable := readToEnd && r.framed && !r.Response.Close && r.bodySent() && r.conn.reader.Buffered() == 0 && !r.conn.sent.full()
	if cancelled || crowded || !reusable {
		_ = r.conn.Close()
		return
	}
	idle, ok := idleTime(r.Header.Get("Keep-Alive"))
	if !ok {
		idle = r.client.options.IdleTime
	}
	if idle <= 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.idleUntil = r.client.options.Now().Add(idle)
	r.client.pool.put(r.conn)
}

// bodySent returns whether the request's body has been sent completely. A server that answered early may still expect
// the rest of the body, and would read the next request as part of it.
func (r *Response) bodySent() bool {
	if !r.requestBodyAllowed {
		return false
	}
	return r.sending == nil || r.sending.hasEnded() && r.sending.err == nil
}

// idleMargin is how much earlier than the server this client closes an idle connection: a request sent while the server
// closes the connection would be lost.
const idleMargin = 700 * clock.Millisecond

func idleTime(header string) (clock.Duration, bool) {
	for _, parameter := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return clock.Duration(seconds)*clock.Second - idleMargin, true
	}
	return 0, false
}
