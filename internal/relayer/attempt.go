package relayer

// An attempt goes to the local endpoint, or to the node beside another endpoint.
//
// Example: the other node has no room: failedAttempt(Full), and the conductor decides where the next attempt goes.

import (
	"context"
	"errors"
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// attempt makes one attempt, at the local endpoint or through another node; offeredBefore is whether an endpoint got the request
// in an earlier one.
func (r *Relayer) attempt(
	request *http.Request,
	s conductor.Send,
	body *replayable,
	offeredBefore bool,
	fingerprints []identifier.Fingerprint,
) answer {
	left := s.Deadline.Sub(r.options.Clock.Now())
	parent, stop, stopWatch := request.Context(), func() {}, func() {}
	if body.streamed() {
		parent, stop = body.stream.context(parent)
	}
	if !s.Local && s.Idempotent {
		parent, stopWatch = r.watchAbort(parent, s.ID)
	}
	ctx, cancelTime := context.WithTimeout(parent, left.Std())
	cancel := func() {
		cancelTime()
		stopWatch()
		stop()
	}
	out := outgoing(request, endToEndFields(request.Header))
	out.Body, out.Length = body.reader()
	h := r.options.Headers
	delete(out.Header, h.Key)
	delete(out.Header, h.Team)
	delete(out.Header, h.Target)
	if s.Team != "" {
		out.Header[h.Team] = []string{string(s.Team)}
	}
	out.Header[h.Origin] = []string{string(r.options.Service)}
	var a answer
	if s.Local {
		a = r.deliver(ctx, delivery{
			request:        out,
			id:             request.Header.Get(h.RequestID),
			endpoint:       s.Endpoint,
			rank:           s.Rank,
			deadline:       s.Deadline,
			queueTimeout:   s.QueueTimeout,
			due:            s.Due,
			nested:         s.Nested,
			arrivalCounted: s.ArrivalCounted,
			rateUnchecked:  uncheckedTeam(s),
			once:           !s.Idempotent,
			offeredBefore:  offeredBefore,
			fingerprints:   fingerprints,
		})
		r.View(func(c *conductor.Conductor, now clock.Time) {
			a.headroom, a.queueDelay = c.Headroom(now), c.QueueDelay(now)
		})
	} else {
		out.Header[fingerprintsField] = []string{formatFingerprints(fingerprints)}
		a = r.forward(ctx, s, out, body, offeredBefore)
	}
	a.upload, a.deadline = body.stream, s.Deadline
	return r.bufferSmallAnswer(ctx, cancel, a)
}

// forward sends a request to the node beside another endpoint and reads the outcome from its answer.
func (r *Relayer) forward(ctx context.Context, s conductor.Send, out *requester.Request, body *replayable, offeredBefore bool) answer {
	now := r.options.Clock.Now()
	out.Header[callField] = []string{handover{
		left:           s.Deadline.Sub(now),
		queueTimeout:   s.QueueTimeout,
		due:            s.Due.Sub(now),
		rank:           s.Rank,
		nested:         s.Nested,
		arrivalCounted: s.ArrivalCounted,
		once:           !s.Idempotent,
		offeredBefore:  offeredBefore,
		endpoint:       s.Endpoint,
		rateUnchecked:  uncheckedTeam(s),
	}.String()}
	setPassedLimit(out.Header, s.Limit)
	delete(out.Header, r.options.Headers.TimeLeft)
	// A request of a team that is over its rate is usually refused there as well; its body must not cross failure domains
	// before it is admitted.
	out.ExpectContinue = body.streamed() || s.RateUnchecked && s.Crossing != router.Inside
	count := r.countCrossing(s, out)
	requestedAt := r.options.Boot.Now()
	response, err := r.peers.Do(ctx, s.Address, out)
	if err != nil {
		count()
		return r.peerFailed(ctx, s, err)
	}
	state, ok := readPeerState(response.Header)
	if !ok {
		response.Close(false)
		count()
		return r.peerFailed(ctx, s, NotFromNodeError{Address: s.Address, Status: response.StatusCode, Field: stateField})
	}
	r.applyProof(state.proof, requestedAt, s.Node)
	connection, rejectedWith := readConnection(response.Header)
	if name := response.Header.Get(outcomeField); name != "" {
		response.Close(drainBody(response))
		count()
		a := rejectedAttempt(conductor.ParseOutcome(name), "", rejectedWith).on(connection)
		a.headroom, a.queueDelay, a.member = state.headroom, state.queueDelay, r.readMember(response.Header)
		return a
	}
	if id, ok := out.Header[r.options.Headers.RequestID]; ok {
		response.Header[r.options.Headers.RequestID] = id
	}
	return answer{
		Response:   response,
		notice:     r.noticeIn(response.Header),
		outcome:    conductor.Answered,
		connection: connection,
		headroom:   state.headroom,
		queueDelay: state.queueDelay,
		finish: func(whole bool) {
			if whole {
				response.AwaitSent()
			}
			response.Close(whole)
			count()
		},
	}
}

// uncheckedTeam returns the team whose rate limit the receiving node must still check, empty for none.
func uncheckedTeam(s conductor.Send) identifier.Team {
	if s.RateUnchecked {
		return s.Team
	}
	return ""
}

func (r *Relayer) peerFailed(ctx context.Context, s conductor.Send, err error) answer {
	var dial requester.DialError
	var body requester.BodyError
	switch {
	case endedAsUnreachable(ctx) && errors.As(err, &dial):
		return failedAttempt(conductor.Unreached, conductor.EndpointDown)
	case ctx.Err() != nil:
		return incompleteAttempt(ctx)
	case errors.As(err, &body):
		return bodyReadFailed(err)
	case errors.As(err, &dial):
		r.options.Recorder.Dependency("node "+string(s.Node), err)
		return failedAttempt(conductor.Unreached, conductor.EndpointDown)
	default:
		var stranger NotFromNodeError
		if errors.As(err, &stranger) {
			r.options.Recorder.Dependency("node "+string(s.Node), err)
		}
		r.peers.CloseIdle(s.Address)
		return failedAttempt(conductor.Broken, conductor.InDoubt)
	}
}
