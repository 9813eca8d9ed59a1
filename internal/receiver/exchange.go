// An exchange handles one caller's request from its arrival to its final answer. It carries out the reducer's effects
// and reports the outcome of each attempt to the reducer, which makes all decisions.
//
// Example: Forward → the attempt's answer is lost → AnswerEnded{Phase: Sent} → Refuse{LostAnswer}.

package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/forwarder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/performer"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

const (
	copyBufferSize = 32 << 10
	// maxRecordedBytes is the largest answer body that is recorded for requests with the same idempotency id.
	maxRecordedBytes = 64 << 10
)

// ErrStopped is the cause with which the requests at work are cancelled when a stop does not wait for them any longer.
var ErrStopped = errors.New("the node has stopped")

type exchange struct {
	receiver *Receiver
	id       reducer.CallID
	mailbox  performer.Mailbox
	request  identifier.Request
	writer   http.ResponseWriter
	incoming *http.Request
	body     *replayBody
	parts    parts
	relayed  bool
}

func (x *exchange) run() {
	for {
		select {
		case e := <-x.mailbox:
			if x.act(e) {
				return
			}
		case <-x.incoming.Context().Done():
			x.receiver.performer.Apply(&reducer.CallCancelled{Call: x.id})
			if errors.Is(context.Cause(x.incoming.Context()), ErrStopped) {
				x.finish(x.refuseStopped)
			}
			return
		}
	}
}

// refuseStopped answers a call that the node's stop does not wait for any longer; without an answer the caller could not tell
// that the call may have run.
func (x *exchange) refuseStopped() {
	writeRefusal(x.writer, x.request, reducer.Refusal{
		Reason:    reducer.LostAnswer,
		Detail:    ErrStopped.Error(),
		DecidedBy: x.receiver.self,
	})
}

// act carries out one effect and returns whether the exchange is over.
func (x *exchange) act(e reducer.CallEffect) bool {
	switch e := e.(type) {
	case reducer.Forward:
		x.attempt(e)
		return false
	case reducer.Refuse:
		x.finish(func() { writeRefusal(x.writer, x.request, e.Refusal) })
	case reducer.Replay:
		x.finish(func() { writeOutcome(x.writer, x.request, e.Outcome) })
	}
	return true
}

// Once an answer has started it cannot be replaced by a refusal. A normal return from the handler would make a truncated
// answer look complete to the caller; the abort closes the connection instead, so that the caller sees an error.
func (x *exchange) finish(write func()) {
	if x.relayed {
		panic(http.ErrAbortHandler)
	}
	write()
}

func (x *exchange) attempt(f reducer.Forward) {
	ctx, cancel := context.WithTimeout(x.incoming.Context(), f.Deadline.Std())
	defer cancel()
	body := x.body.attempt(f.MaxBody)
	defer body.detach()
	peer := transporter.Peer{Node: f.Node, Address: f.Address}
	answer, phase, err := x.receiver.forwarder.Call(ctx, peer, x.head(f), body)
	if err != nil {
		x.report(ctx, body, reducer.AnswerEnded{Phase: toPhase(phase)})
		return
	}
	defer answer.Close()
	if r := answer.Head().Refusal; r != nil {
		x.reportRefusal(ctx, body, answer, r)
		return
	}
	x.relay(ctx, f, body, answer)
}

func (x *exchange) head(f reducer.Forward) transporter.CallHead {
	q := x.incoming
	return transporter.CallHead{
		Request:       x.request,
		Root:          f.Root,
		Team:          f.Team,
		KeyHash:       f.KeyHash,
		Service:       x.parts.service,
		Endpoint:      f.Endpoint,
		Method:        q.Method,
		Path:          x.parts.path,
		RawQuery:      q.URL.RawQuery,
		Header:        deliverer.EndToEnd(q.Header, authorizationHeader),
		ContentLength: q.ContentLength,
		Rank:          f.Rank,
		Deadline:      f.Deadline,
		Allowance:     f.Allowance,
		Idempotent:    f.Idempotent,
		Depth:         f.Depth,
		Attempt:       f.Attempt,
		Idempotency:   x.parts.idempotency,
	}
}

func (x *exchange) report(ctx context.Context, body *attemptBody, e reducer.AnswerEnded) {
	body.detach()
	e.Call = x.id
	e.Wall = x.receiver.clock.Wall()
	e.Replayable = x.body.replayable()
	e.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
	e.TooLarge = body.exceeded()
	x.receiver.performer.Apply(&e)
}

func (x *exchange) reportRefusal(ctx context.Context, body *attemptBody, a forwarder.Answer, r *transporter.Refusal) {
	// A refusal has no body; its tail is available after it has been read to its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, copyBufferSize))
	x.report(ctx, body, reducer.AnswerEnded{
		Phase: reducer.Answered,
		Refusal: &reducer.RemoteRefusal{
			Reason:     reducer.Reason(r.Reason),
			NotRun:     r.NotRun,
			RetryAfter: r.RetryAfter,
			DecidedBy:  r.DecidedBy,
		},
		Tail: fromTail(a),
	})
}

func (x *exchange) relay(ctx context.Context, f reducer.Forward, body *attemptBody, a forwarder.Answer) {
	head := a.Head()
	x.relayed = true
	h := x.writer.Header()
	for _, field := range head.Header {
		h.Add(field.Name, field.Value)
	}
	x.writer.WriteHeader(head.Status)
	var kept *recorder
	if f.Record {
		kept = &recorder{limit: maxRecordedBytes}
	}
	err := x.copy(a, kept)
	x.report(ctx, body, reducer.AnswerEnded{
		Phase:   reducer.Answered,
		Relayed: true,
		Whole:   err == nil,
		Tail:    fromTail(a),
		Outcome: kept.outcome(head, err == nil),
	})
}

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

func (x *exchange) copy(a forwarder.Answer, kept *recorder) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(x.writer)
	total := 0
	for {
		n, err := a.Read(*buffer)
		if n > 0 {
			kept.write((*buffer)[:n])
			if _, werr := x.writer.Write((*buffer)[:n]); werr != nil {
				return werr
			}
		}
		total += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		// A small answer is sent in one piece at its end; a long one or a stream is flushed after each read.
		if total < copyBufferSize && !isStream(x.writer.Header()) {
			continue
		}
		if ferr := controller.Flush(); ferr != nil {
			return ferr
		}
	}
}

func isStream(h http.Header) bool {
	return h.Get("Content-Length") == "" || strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

func fromTail(a forwarder.Answer) *reducer.Tail {
	t, ok := a.Tail()
	if !ok {
		return nil
	}
	return &reducer.Tail{
		Allowance:  t.Allowance,
		Threshold:  t.Threshold,
		Headroom:   t.Headroom,
		RetryRatio: t.RetryRatio,
		Share:      t.Share,
	}
}

func toPhase(p transporter.Phase) reducer.Phase {
	switch p {
	case transporter.NotSent:
		return reducer.NotSent
	case transporter.Answered:
		return reducer.Answered
	default:
		return reducer.Sent
	}
}

// recorder records an answer's body up to its limit; a nil recorder records nothing.
type recorder struct {
	limit    int
	body     []byte
	overflow bool
}

func (r *recorder) write(p []byte) {
	if r == nil || r.overflow {
		return
	}
	if len(r.body)+len(p) > r.limit {
		r.overflow = true
		r.body = nil
		return
	}
	r.body = append(r.body, p...)
}

func (r *recorder) outcome(head transporter.AnswerHead, complete bool) *reducer.RecordedOutcome {
	if r == nil || !complete {
		return nil
	}
	fields := make([]reducer.Field, 0, len(head.Header))
	for _, f := range head.Header {
		fields = append(fields, reducer.Field(f))
	}
	return &reducer.RecordedOutcome{Status: head.Status, Header: fields, Body: r.body, Kept: !r.overflow}
}
