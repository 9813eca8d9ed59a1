package relayer

// The last hop: from this node to the endpoint beside it, for requests of this node and of others.
//
// Example: the endpoint answers 503 with its word that the request has not run: the outcome is Declined.

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

// parcel is a request on its way to the local endpoint.
type parcel struct {
	request       *requester.Request
	id            string
	endpoint      identifier.Endpoint
	rank          identifier.Rank
	deadline      clock.Time
	patience      clock.Duration
	due           clock.Time
	nested        bool
	again         bool
	rateUnchecked identifier.Team
}

// answer is what came of an attempt; Response is set where the outcome is Answered.
type answer struct {
	*requester.Response
	outcome conductor.Outcome
	reason  conductor.Reason
	// headroom and wait are how the endpoint fared when it answered.
	headroom uint8
	wait     clock.Duration
	// member is the other node's record where the endpoint is no longer there.
	member *exchanger.Member
	// finish must be called once, with whether the body was read to its end.
	finish func(whole bool)
	// tooLong is the limit that the request's body went over, 0 for none.
	tooLong int64
	// body holds the whole body where it was read already.
	body []byte
	read bool
}

func failed(o conductor.Outcome, reason conductor.Reason) answer {
	return answer{outcome: o, reason: reason, finish: func(bool) {}}
}

// unread is the outcome where the caller's body could not be read to its end.
func unread(err error) answer {
	a := failed(conductor.Abandoned, conductor.InDoubt)
	a.tooLong = bodyLimit(err)
	return a
}

// ended is the outcome of an attempt that was sent and has no whole answer, by what has ended it: its node can't be reached, the
// time was up, the caller has left, or else the connection broke.
func ended(ctx context.Context) answer {
	switch {
	case lost(ctx):
		return failed(conductor.Broken, conductor.InDoubt)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failed(conductor.Late, conductor.Deadline)
	case ctx.Err() != nil:
		return failed(conductor.Abandoned, conductor.InDoubt)
	default:
		return failed(conductor.Broken, conductor.InDoubt)
	}
}

// deliver runs a request at the local endpoint.
func (r *Relayer) deliver(ctx context.Context, p parcel) answer {
	id := r.newID()
	effect := r.apply(id, conductor.DeliveryArrived{
		ID:             id,
		Request:        identifier.Request(p.id),
		Host:           p.request.Host,
		Path:           pathOf(p.request.URI),
		Endpoint:       p.endpoint,
		Rank:           p.rank,
		Deadline:       p.deadline,
		QueueTimeout:   p.patience,
		Due:            p.due,
		Nested:         p.nested,
		ArrivalCounted: p.again,
		RateUnchecked:  p.rateUnchecked,
	})
	if h, ok := effect.(held); ok {
		woken, err := r.wait(ctx, h)
		if err != nil {
			r.apply(id, conductor.DeliveryCancelled{ID: id})
			return failed(conductor.Full, conductor.Expired)
		}
		effect = woken
	}
	if t, ok := effect.(conductor.TurnAway); ok {
		return failed(t.Outcome, t.Reason)
	}
	a := r.run(ctx, p)
	if a.outcome != conductor.Answered {
		r.apply(id, conductor.DeliveryEnded{ID: id, Outcome: a.outcome})
		return a
	}
	a.finish = func(whole bool) {
		a.Close(whole)
		outcome := conductor.Answered
		if !whole {
			outcome = conductor.Abandoned
		}
		r.apply(id, conductor.DeliveryEnded{ID: id, Outcome: outcome})
	}
	return a
}

func (r *Relayer) run(ctx context.Context, p parcel) answer {
	left := p.deadline.Sub(r.options.Clock.Now())
	if left <= 0 {
		return failed(conductor.Full, conductor.Expired)
	}
	h := r.options.Headers
	p.request.Header[h.Target] = []string{string(p.endpoint)}
	setMilliseconds(p.request.Header, h.TimeLeft, left)
	p.request.ExpectContinue = false
	p.request.Matches = func(got http.Header) bool { return got.Get(h.RequestID) == p.id }
	response, err := r.endpoints.Do(ctx, r.options.EndpointAddress, p.request)
	if err != nil {
		return r.notAnswered(ctx, p, err)
	}
	if response.Header.Get(h.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		response.Close(drain(response))
		if response.StatusCode == http.StatusMisdirectedRequest {
			r.Tell(conductor.EndpointUnreachable{Endpoint: p.endpoint})
			return failed(conductor.Moved, conductor.EndpointGone)
		}
		return failed(conductor.Declined, conductor.EndpointRefused)
	}
	return answer{Response: response, outcome: conductor.Answered}
}

// largestDrain bounds what is read of a body that nobody wants, to keep its connection.
const largestDrain = 16 << 10

func drain(response *requester.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, largestDrain))
	return err == nil && n < largestDrain
}

func (r *Relayer) notAnswered(ctx context.Context, p parcel, err error) answer {
	var dial requester.DialError
	var body requester.BodyError
	if errors.As(err, &dial) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.Tell(conductor.EndpointUnreachable{Endpoint: p.endpoint})
		}
		if ctx.Err() == nil {
			r.options.Recorder.Dependency("endpoint", fmt.Errorf("connect: %w", err))
		}
		return failed(conductor.Unreached, conductor.EndpointDown)
	}
	switch {
	case ctx.Err() != nil:
		return ended(ctx)
	case errors.As(err, &body):
		return unread(err)
	default:
		return failed(conductor.Broken, conductor.InDoubt)
	}
}
