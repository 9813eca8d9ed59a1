package relayer

// A node is probed by opening a connection to it, which its operating system accepts even while its process is busy. On a
// bad link one packet in thirty is lost, and the first packet of a connection is sent again only after a second; so two
// connections are opened at once.
//
// Example: no connection within 250 ms: the node counts as lost, and attempts in flight there are aborted.

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/detector"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// probeConnections is how many connections a probe opens.
const probeConnections = 2

// probe finds out whether a node can be reached. A node that refuses the connection can: only its process has ended.
func (r *Relayer) probe(p conductor.Probe) {
	reached := make(chan bool, probeConnections)
	for range probeConnections {
		go func() {
			n, err := requester.Dial(context.Background(), p.Address, detector.ProbeTimeout.Std())
			if err == nil {
				_ = n.Close()
			}
			reached <- err == nil || errors.Is(err, syscall.ECONNREFUSED)
		}()
	}
	for range probeConnections {
		if <-reached {
			r.reportProbe(p.Node, true)
			return
		}
	}
	r.reportProbe(p.Node, false)
	r.peers.CloseIdle(p.Address)
}

// reportProbe passes the result to the conductor, and logs it if it changes whether the node counts as lost.
func (r *Relayer) reportProbe(node identifier.Node, reached bool) {
	lost := false
	r.View(func(c *conductor.Conductor, _ clock.Time) { lost = c.Lost(node) })
	switch {
	case reached && lost:
		r.options.Recorder.Event("node regained", "other", string(node))
	case !reached && !lost:
		r.options.Recorder.Event("node lost", "other", string(node))
	}
	r.ApplyEvent(conductor.Probed{Node: node, Reached: reached})
}

// abortable is the context of an attempt that is aborted if its node is unreachable. It holds the reason of its end, since a
// context with a cause above the one with the deadline takes half a kilobyte more for each attempt.
type abortable struct {
	context.Context
	cancel      context.CancelFunc
	unreachable atomic.Bool
}

// abort ends the attempt unless it has ended already.
func (a *abortable) abort() {
	if a.Err() != nil {
		return
	}
	a.unreachable.Store(true)
	a.cancel()
}

// watchAbort returns a context that an Abort effect for the request cancels, until stop is called. Stop cancels it too.
func (r *Relayer) watchAbort(parent context.Context, cancel context.CancelFunc, id conductor.CallID) (ctx context.Context, stop func()) {
	a := &abortable{Context: parent, cancel: cancel}
	r.mu.Lock()
	r.aborts[id] = a
	r.mu.Unlock()
	return a, func() {
		r.mu.Lock()
		delete(r.aborts, id)
		r.mu.Unlock()
		cancel()
	}
}

// endedAsUnreachable reports whether an attempt was aborted because its node is unreachable.
func endedAsUnreachable(ctx context.Context) bool {
	a, ok := ctx.(*abortable)
	return ok && a.unreachable.Load() && errors.Is(ctx.Err(), context.Canceled)
}
