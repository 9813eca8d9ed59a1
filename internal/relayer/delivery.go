package relayer

// The last hop leads from this node to the local endpoint, for requests that arrived here or at other nodes.
//
// Example: the endpoint answers 503 with the field that says that the request has not run: the outcome is Declined.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// delivery is a request on its way to the local endpoint.
type delivery struct {
	request      *requester.Request
	id           string
	endpoint     identifier.Endpoint
	rank         identifier.Rank
	deadline     clock.Time
	queueTimeout clock.Duration
	// due is when the answer is expected.
	due            clock.Time
	nested         bool
	arrivalCounted bool
	// rateUnchecked is the team whose rate limit has not been checked for this request yet, empty for none.
	rateUnchecked identifier.Team
	// once is set if the request may run once only, offeredBefore if it was offered to an endpoint before.
	once, offeredBefore bool
	// limit is what the sending node knows of the endpoint's rate limit.
	limit        conductor.Notice
	fingerprints []identifier.Fingerprint
}

// answer is the result of an attempt; Response is set if the outcome is Answered.
type answer struct {
	*requester.Response
	outcome conductor.Outcome
	reason  conductor.Reason
	// headroom and queueDelay are those of the endpoint when it answered.
	headroom   uint8
	queueDelay clock.Duration
	// connection is the local address of the connection on which a request that may run once only was offered to the endpoint,
	// empty if it is not known.
	connection string
	// rejectedWith is the status of an endpoint's answer that says that the request was not run, 0 for none.
	rejectedWith int
	// member is the other node's present record if the requested endpoint is no longer beside it.
	member *exchanger.Member
	// notice is what an answer that came through another node says about the endpoint.
	notice conductor.Notice
	// finish must be called exactly once; whole reports whether the body was read to its end.
	finish func(whole bool)
	// exceededLimit is the limit in bytes that the request's body exceeded, 0 for none.
	exceededLimit int64
	// body holds the whole body if bodyRead is set.
	body     []byte
	bodyRead bool
	// room is what is reserved for the part of the body that is buffered.
	room bufferRoom
	// upload is the request's body if it is streamed; deadline is when the attempt ends.
	upload   *upload
	deadline clock.Time
}

// early returns whether the endpoint has answered before it got the whole body of the request.
func (a answer) early() bool {
	return a.Response != nil && a.upload != nil && a.Sending()
}

func failedAttempt(o conductor.Outcome, reason conductor.Reason) answer {
	return answer{outcome: o, reason: reason, finish: func(bool) {}}
}

func rejectedAttempt(o conductor.Outcome, reason conductor.Reason, status int) answer {
	a := failedAttempt(o, reason)
	a.rejectedWith = status
	return a
}

// bodyReadFailed returns the outcome of an attempt during which the caller's body could not be read to its end.
func bodyReadFailed(err error) answer {
	a := failedAttempt(conductor.Abandoned, conductor.InDoubt)
	a.exceededLimit = exceededBodyLimit(err)
	return a
}

// incompleteAttempt returns the outcome of an attempt that was sent and got no complete answer, by cause: its node is
// unreachable, this node ends, the deadline has passed, the caller has disconnected, or the connection broke.
func incompleteAttempt(ctx context.Context) answer {
	switch {
	case endedAsUnreachable(ctx), endedByStop(ctx):
		return failedAttempt(conductor.Broken, conductor.InDoubt)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failedAttempt(conductor.Late, conductor.Deadline)
	case ctx.Err() != nil:
		return failedAttempt(conductor.Abandoned, conductor.InDoubt)
	default:
		return failedAttempt(conductor.Broken, conductor.InDoubt)
	}
}

// deliver runs a request at the local endpoint.
func (r *Relayer) deliver(ctx context.Context, d delivery) answer {
	id := r.newID()
	effect := r.apply(id, conductor.DeliveryArrived{
		ID:             id,
		Request:        identifier.Request(d.id),
		Host:           d.request.Host,
		Path:           pathOf(d.request.URI),
		Endpoint:       d.endpoint,
		Rank:           d.rank,
		Deadline:       d.deadline,
		QueueTimeout:   d.queueTimeout,
		Due:            d.due,
		Nested:         d.nested,
		ArrivalCounted: d.arrivalCounted,
		RateUnchecked:  d.rateUnchecked,
		Limit:          d.limit,
		Fingerprints:   d.fingerprints,
	})
	if h, ok := effect.(held); ok {
		resumed, err := r.wait(ctx, h)
		if err != nil {
			r.apply(id, conductor.DeliveryCancelled{ID: id})
			return failedAttempt(conductor.Full, conductor.Expired)
		}
		effect = resumed
	}
	if t, ok := effect.(conductor.TurnAway); ok {
		return failedAttempt(t.Outcome, t.Reason)
	}
	a := r.run(ctx, id, d)
	if a.outcome != conductor.Answered {
		r.apply(id, conductor.DeliveryEnded{ID: id, Outcome: a.outcome})
		return a
	}
	a.finish = func(whole bool) {
		if whole {
			a.AwaitSent()
		}
		a.Close(whole)
		outcome := conductor.Answered
		if !whole {
			outcome = conductor.Abandoned
			if ctx.Err() == nil {
				r.checkEnd(id, d.endpoint)
			}
		}
		r.apply(id, conductor.DeliveryEnded{ID: id, Outcome: outcome, Status: a.status()})
	}
	return a
}

func (r *Relayer) run(ctx context.Context, id conductor.CallID, d delivery) answer {
	left := d.deadline.Sub(r.options.Clock.Now())
	if left <= 0 {
		return failedAttempt(conductor.Full, conductor.Expired)
	}
	h := r.options.Headers
	d.request.Header[h.Target] = []string{string(d.endpoint)}
	setMilliseconds(d.request.Header, h.TimeLeft, left)
	d.request.ExpectContinue = false
	d.request.ID = d.id
	stopCheck := r.checkIfSilent(id, d.endpoint, left)
	response, err := r.endpoints.Do(ctx, r.options.EndpointAddress, d.request)
	stopCheck()
	if err != nil {
		return r.deliveryFailed(ctx, id, d, err)
	}
	connection := ""
	if d.once {
		connection = response.Connection()
	}
	if response.StatusCode != http.StatusMisdirectedRequest {
		r.reportNotice(id, response.Header)
		r.reportUnreadFields(response.Header)
	}
	if response.Header.Get(h.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		response.Close(drainBody(response))
		if response.StatusCode == http.StatusMisdirectedRequest {
			r.ApplyEvent(conductor.EndpointUnreachable{Endpoint: d.endpoint})
			return rejectedAttempt(conductor.Moved, conductor.EndpointGone, response.StatusCode).on(connection)
		}
		return rejectedAttempt(conductor.Declined, conductor.EndpointRefused, response.StatusCode).on(connection)
	}
	return answer{Response: response, outcome: conductor.Answered}.on(connection)
}

// on returns the answer with the connection on which the request was offered.
func (a answer) on(connection string) answer {
	a.connection = connection
	return a
}

// maxDrainBytes bounds the bytes of an unused body that are read so that its connection can be reused.
const maxDrainBytes = 16 << 10

func drainBody(response *requester.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

func (r *Relayer) deliveryFailed(ctx context.Context, id conductor.CallID, d delivery, err error) answer {
	var dial requester.DialError
	var body requester.BodyError
	if errors.As(err, &dial) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.ApplyEvent(conductor.EndpointUnreachable{Endpoint: d.endpoint})
		}
		if ctx.Err() == nil {
			r.options.Recorder.Dependency("endpoint", fmt.Errorf("connect: %w", err))
		}
		return failedAttempt(conductor.Unreached, conductor.EndpointDown)
	}
	connection := ""
	var sent requester.SentError
	if d.once && errors.As(err, &sent) {
		connection = sent.Connection
	}
	switch {
	case ctx.Err() != nil:
		return incompleteAttempt(ctx).on(connection)
	case errors.As(err, &body):
		return bodyReadFailed(err).on(connection)
	default:
		r.checkEnd(id, d.endpoint)
		return failedAttempt(conductor.Broken, conductor.InDoubt).on(connection)
	}
}
