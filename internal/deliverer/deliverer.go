// A deliverer is the last hop of a call before its backend server. The reducer decides when the call is dispatched. The
// deliverer sends it, reports to the calling node whether it may have run, and always reports its end to the reducer,
// because the slot that it used must be freed in every case.
//
// Example: a call for endpoint "ice-2" waits for Dispatch from its mailbox, is sent to 127.0.0.1:9002 with its token, and
// its answer is streamed back; EndDelivery carries the tail.

package deliverer

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/performer"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

// Header fields that a node sets on requests to its backend server. TokenHeader holds the call token, which identifies
// the call; the backend server sends it with its nested calls.
const (
	TokenHeader     = "Jackdawtide-Call"
	DeadlineHeader  = "Jackdawtide-Deadline-Ms"
	TeamHeader      = "Jackdawtide-Team"
	RequestIDHeader = "Jackdawtide-Request-Id"
)

const (
	tokenBytes     = 24
	copyBufferSize = 32 << 10
)

// Deliverer sends calls to the backend servers of this VM.
type Deliverer struct {
	performer *performer.Performer

	mu       sync.Mutex
	backends map[identifier.Endpoint]*backend
}

type backend struct {
	address string
	client  *http.Transport
	// namesCalls is set while the backend server's answers name their calls, so that its connections can be kept.
	namesCalls atomic.Bool
}

// New returns a deliverer that applies its events to p.
func New(p *performer.Performer) *Deliverer {
	return &Deliverer{performer: p, backends: make(map[identifier.Endpoint]*backend)}
}

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// ServeCall accepts a call from a node, waits until it is dispatched, and sends it to the backend server.
func (d *Deliverer) ServeCall(ctx context.Context, from identifier.Node, head transporter.CallHead, body io.Reader, w transporter.AnswerWriter) {
	id, mailbox := d.performer.Open()
	defer d.performer.Close(id)
	token := newToken()
	d.performer.Apply(&reducer.DeliveryArrived{
		Delivery:   id,
		From:       from,
		Request:    head.Request,
		Root:       head.Root,
		Team:       head.Team,
		KeyHash:    head.KeyHash,
		Service:    head.Service,
		Endpoint:   head.Endpoint,
		Method:     head.Method,
		Path:       head.Path,
		Rank:       head.Rank,
		Deadline:   head.Deadline,
		Allowance:  head.Allowance,
		Depth:      head.Depth,
		Attempt:    head.Attempt,
		Idempotent: head.Idempotent,
		Token:      token,
	})
	select {
	case e := <-mailbox:
		d.act(ctx, e, mailbox, head, token, body, w)
	case <-ctx.Done():
		d.performer.Apply(&reducer.DeliveryCancelled{Delivery: id})
	}
}

func (d *Deliverer) act(ctx context.Context, e reducer.CallEffect, mailbox performer.Mailbox, head transporter.CallHead, token reducer.Token, body io.Reader, w transporter.AnswerWriter) {
	switch e := e.(type) {
	case reducer.RefuseDelivery:
		writeRefusal(w, e)
	case reducer.Dispatch:
		d.dispatch(ctx, e, mailbox, head, token, body, w)
	}
}

func writeRefusal(w transporter.AnswerWriter, e reducer.RefuseDelivery) {
	if err := w.WriteHead(transporter.AnswerHead{
		Status: e.Refusal.Reason.Status(),
		Refusal: &transporter.Refusal{
			Reason:     string(e.Refusal.Reason),
			NotRun:     e.Refusal.NotRun,
			RetryAfter: e.Refusal.RetryAfter,
			DecidedBy:  e.Refusal.DecidedBy,
		},
	}); err != nil {
		return
	}
	_ = w.Close(toTail(e.Tail))
}

func (d *Deliverer) dispatch(parent context.Context, e reducer.Dispatch, mailbox performer.Mailbox, head transporter.CallHead, token reducer.Token, body io.Reader, w transporter.AnswerWriter) {
	ctx, cancel := context.WithTimeout(parent, e.Deadline.Std())
	defer cancel()
	result := d.exchange(ctx, e, head, token, body, w)
	d.performer.Apply(&reducer.DeliveryEnded{Delivery: e.Delivery, Result: result.delivery})
	end, ok := (<-mailbox).(reducer.EndDelivery)
	if !ok || !result.closable {
		return
	}
	_ = w.Close(toTail(end.Tail))
}

// exchangeResult is the outcome of an exchange with a backend server; closable is whether the answer is complete and may
// be closed with a tail.
type exchangeResult struct {
	delivery reducer.DeliveryResult
	closable bool
}

func (d *Deliverer) exchange(ctx context.Context, e reducer.Dispatch, head transporter.CallHead, token reducer.Token, body io.Reader, w transporter.AnswerWriter) exchangeResult {
	b, ok := d.backend(e.Endpoint)
	if !ok {
		return refuse(w, e, reducer.NoBackend, true, reducer.DeliveryAborted)
	}
	req, err := newBackendRequest(ctx, b, e, head, token, body)
	if err != nil {
		return refuse(w, e, reducer.BadRequest, true, reducer.DeliveryAborted)
	}
	resp, err := b.client.RoundTrip(req)
	if err != nil {
		return refuseFailed(ctx, w, e, err)
	}
	defer resp.Body.Close()
	if !b.answers(req, resp) {
		b.client.CloseIdleConnections()
		return refuse(w, e, reducer.LostAnswer, false, reducer.DeliveryFailed)
	}
	if err := w.WriteHead(transporter.AnswerHead{Status: resp.StatusCode, Header: answerFields(resp)}); err != nil {
		return exchangeResult{delivery: reducer.DeliveryAborted}
	}
	if err := copyBody(w, resp); err != nil {
		return exchangeResult{delivery: failure(ctx)}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return exchangeResult{delivery: reducer.DeliveryFailed, closable: true}
	}
	return exchangeResult{delivery: reducer.DeliverySucceeded, closable: true}
}

// If the connection could not be opened, nothing was sent and the call has not run. If the connection is lost later, the
// call may or may not have run.
func refuseFailed(ctx context.Context, w transporter.AnswerWriter, e reducer.Dispatch, err error) exchangeResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refuse(w, e, reducer.Unreachable, true, reducer.DeliveryFailed)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse(w, e, reducer.DeadlinePassed, false, reducer.DeliveryTimedOut)
	}
	return refuse(w, e, reducer.LostAnswer, false, failure(ctx))
}

func failure(ctx context.Context) reducer.DeliveryResult {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reducer.DeliveryTimedOut
	case ctx.Err() != nil:
		return reducer.DeliveryAborted
	default:
		return reducer.DeliveryFailed
	}
}

func refuse(w transporter.AnswerWriter, e reducer.Dispatch, reason reducer.Reason, notRun bool, result reducer.DeliveryResult) exchangeResult {
	err := w.WriteHead(transporter.AnswerHead{
		Status:  reason.Status(),
		Refusal: &transporter.Refusal{Reason: string(reason), NotRun: notRun, RetryAfter: e.RetryAfter, DecidedBy: e.Self},
	})
	return exchangeResult{delivery: result, closable: err == nil}
}

func newBackendRequest(ctx context.Context, b *backend, e reducer.Dispatch, head transporter.CallHead, token reducer.Token, body io.Reader) (*http.Request, error) {
	target := "http://" + b.address + head.Path
	if head.RawQuery != "" {
		target += "?" + head.RawQuery
	}
	if head.ContentLength == 0 {
		body = nonRewindableBody{}
	}
	req, err := http.NewRequestWithContext(ctx, head.Method, target, body)
	if err != nil {
		return nil, fmt.Errorf("create request for %s: %w", e.Endpoint, err)
	}
	req.ContentLength = head.ContentLength
	req.Close = !b.namesCalls.Load()
	for _, f := range head.Header {
		req.Header.Add(f.Name, f.Value)
	}
	req.Header.Set(TokenHeader, string(token))
	req.Header.Set(DeadlineHeader, strconv.FormatInt(int64(e.Deadline), 10))
	req.Header.Set(TeamHeader, string(head.Team))
	req.Header.Set(RequestIDHeader, string(head.Request))
	return req, nil
}

// nonRewindableBody is an empty body that keeps net/http from retrying. net/http retries a request without a body on its
// own if a reused connection ends before the answer and the method is GET or the header has an idempotency id. A booking
// could then run twice, and the retry would not be charged to the retry budget. A body that can't be rewound prevents it.
type nonRewindableBody struct{}

func (nonRewindableBody) Read([]byte) (int, error) { return 0, io.EOF }

// copyBody flushes after each read, so that a slow download reaches its caller without delay; an answer known to be small
// is sent in one piece instead.
func copyBody(w transporter.AnswerWriter, resp *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	streaming := resp.ContentLength < 0 || resp.ContentLength > copyBufferSize
	for {
		n, err := resp.Body.Read(*buffer)
		if n > 0 {
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !streaming {
			continue
		}
		if ferr := w.Flush(); ferr != nil {
			return ferr
		}
	}
}

func newToken() reducer.Token {
	var b [tokenBytes]byte
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(b[:])
	return reducer.Token(base64.RawURLEncoding.EncodeToString(b[:]))
}

func toTail(t reducer.Tail) transporter.AnswerTail {
	return transporter.AnswerTail{
		Allowance:  t.Allowance,
		Threshold:  t.Threshold,
		Headroom:   t.Headroom,
		RetryRatio: t.RetryRatio,
		Share:      t.Share,
	}
}

func (d *Deliverer) backend(id identifier.Endpoint) (*backend, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.backends[id]
	return b, ok
}

func (d *Deliverer) putBackend(id identifier.Endpoint, address string, connections int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.backends[id]; ok {
		old.client.CloseIdleConnections()
	}
	d.backends[id] = &backend{
		address: address,
		client: &http.Transport{
			DialContext:         requester.DetectResets((&net.Dialer{}).DialContext),
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout.Std(),
			DisableCompression:  true,
			WriteBufferSize:     copyBufferSize,
			ReadBufferSize:      copyBufferSize,
		},
	}
}

const idleTimeout = 90 * clock.Second
