package soaker

// A planned stop may cut no request that an endpoint works on. The check compares what callers and endpoints recorded with
// the times of the planned stops, and passes over requests for which an unplanned disruption may be the cause.
//
// Example: node-1 gets SIGTERM; 4.8 s later it exits, and a request that i-2 began to run 10 ms before gets no answer: cutByStop.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// BeginStop records that a node was told to stop and has not exited until the returned function is called.
func (r *Record) BeginStop(node string) (end func()) {
	return r.beginSpan(r.stops, node)
}

// BeginDisruption records an unplanned disruption of a node or an endpoint until the returned function is called.
func (r *Record) BeginDisruption(name string) (end func()) {
	return r.beginSpan(r.disruptions, name)
}

// AddRunEnd records that the run of a request at an endpoint has ended.
func (r *Record) AddRunEnd(a standin.Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[[2]string{a.Request, a.Instance}] = a.At
}

// gaveUp returns whether a request has no answer because its caller stopped waiting for it.
func gaveUp(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.Canceled) || errors.As(err, &timeout) && timeout.Timeout()
}

// endedOrderly returns whether a connection ended without an answer and without a reset. The kernel resets a connection that
// is closed with bytes unread, so the node had read the request.
func endedOrderly(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// lastArrivals returns the last arrival of each request; of one that its client sent once more, the last before that. A
// request that the node passed on just before it exited may arrive after its caller's connection has ended.
func (r *Record) lastArrivals() map[string]standin.Arrival {
	last := map[string]standin.Arrival{}
	for _, arrivals := range r.arrivals {
		for _, a := range arrivals {
			lostAt := r.sent[a.Request].Answer.LostAt
			if (lostAt.IsZero() || !a.At.After(lostAt)) && a.At.After(last[a.Request].At) {
				last[a.Request] = a
			}
		}
	}
	return last
}

// cutAt returns when the request's connection ended without a whole answer, false if it did not or its caller gave up.
func (s Sent) cutAt() (time.Time, bool) {
	switch {
	case !s.Answer.LostAt.IsZero():
		return s.Answer.LostAt, true
	case s.Answer.Status == 0 && !gaveUp(s.Answer.Err):
		return s.Answered, true
	default:
		return time.Time{}, false
	}
}

// cutByStop finds requests that had reached an endpoint, or that the node had read, and whose connection ended without a
// whole answer during a planned stop of the node at which they began.
func (r *Record) cutByStop(t Terms) (found []Breach) {
	last := r.lastArrivals()
	for _, s := range r.sent {
		at, isCut := s.cutAt()
		if !isCut || r.spoiled[s.ID] || anyTouches(r.disruptions[s.Node], s.At.Add(-t.Contact), at) {
			continue
		}
		i := slices.IndexFunc(r.stops[s.Node], func(stop span) bool { return stop.touches(s.At, at) })
		if i < 0 {
			continue
		}
		stop := r.stops[s.Node][i]
		where := "read by the node"
		if a, ok := last[s.ID]; ok {
			if anyTouches(r.disruptions[a.Instance], s.At, at) || r.mayBeCut(s, a, stop, at, t) {
				continue
			}
			where = "at " + a.Instance
		} else if s.FirstInLine.IsZero() || !endedOrderly(s.Answer.Err) || at.Sub(s.FirstInLine) <= t.LossSlack {
			continue
		}
		found = append(found, Breach{"cutByStop", fmt.Sprintf("%s, %s, was sent %s after %s got SIGTERM and cut after %s: %v",
			s.ID, where, s.At.Sub(stop.from).Round(time.Millisecond), s.Node, at.Sub(stop.from).Round(time.Millisecond), s.Answer.Err)})
	}
	slices.SortFunc(found, func(a, b Breach) int { return cmp.Compare(a.Detail, b.Detail) })
	return found
}

// mayBeCut returns whether the stop leaves the endpoint no time for a request: it was sent soon after SIGTERM, and the
// endpoint was still at work in the last sixth of the grace.
func (r *Record) mayBeCut(s Sent, a standin.Arrival, stop span, at time.Time, t Terms) bool {
	lastSixth := stop.from.Add(t.Grace - t.Grace/6)
	ended, hasEnded := r.ended[[2]string{a.Request, a.Instance}]
	return !s.At.After(stop.from.Add(t.Contact)) && !at.Before(lastSixth) && (!hasEnded || !ended.Before(lastSixth))
}
