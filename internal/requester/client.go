package requester

// The standard HTTP client retries some requests on its own and hides the connection that an answer came from. This
// client sends each request exactly once and reports whether it may have run.
//
// Example: response, err := c.Do(ctx, "10.1.0.9:8080", request); defer response.Close()

import (
	"bufio"
	"context"
	"hash/maphash"
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
	c := &Client{options: o, pool: newPool(o.MaxIdle), seed: maphash.MakeSeed()}
	c.pool.reportUnread = c.reportUnread
	return c
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
	n.sent.add(key)
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
		return nil, SentError{Address: address, Connection: n.LocalAddr().String(), Cause: err}
	}
	n.sent.setStatus(key, response.StatusCode)
	response.client = c
	response.stop = stop
	response.ended = ctx.Done()
	return response, nil
}

// Connection returns the local address of the connection on which the answer came.
func (r *Response) Connection() string {
	return r.conn.LocalAddr().String()
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
			return c.response(n, r, first, nil, false), err
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
			return c.response(n, r, head, sent, true), nil
		}
		c.reportDropped(n, r.ID, head)
		// A late answer to an earlier request on this connection; the answer to this request may follow it.
		if err := skipBody(head); err != nil {
			return nil, err
		}
	}
	return nil, BoundError{Bound: "droppedAnswers", Limit: maxDroppedAnswers}
}

func (c *Client) response(n *conn, r *Request, head *http.Response, sent *sending, requestBodyAllowed bool) *Response {
	if head == nil {
		return nil
	}
	if len(head.TransferEncoding) > 0 {
		head.Body = chunkedBody{ReadCloser: head.Body, report: func(err error) { c.reportBound(n, r, err) }}
	}
	return &Response{
		Response:           head,
		conn:               n,
		sending:            sent,
		requestBodyAllowed: requestBodyAllowed,
		framed:             isFramed(head),
	}
}

// Close ends the exchange; readToEnd states whether the answer's body was read to its end. The connection returns to the
// pool only if request and answer are complete and it may be reused.
func (r *Response) Close(readToEnd bool) {
	if r.closed {
		return
	}
	r.closed = true
	cancelled := !r.stop()
	if readToEnd && r.framed && r.conn.reader.Buffered() > 0 {
		r.client.reportUnread(r.conn)
	}
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
