package relayer

// A node is probed by opening a connection to it, which its operating system accepts even while its process is busy. On a
// bad link one packet in thirty is lost, and the first packet of a connection is sent again only after a second; so two
// connections are opened at once.
//
// Example: no connection within 250 ms: the node counts as lost, and attempts in flight there are aborted.

import (
	"context"
	"errors"
	"syscall"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/detector"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// errUnreachable is the cause with which attempts at an unreachable node are aborted.
var errUnreachable = errors.New("node can't be reached")

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

// watchAbort returns a context that an Abort effect for the request cancels, until stop is called.
func (r *Relayer) watchAbort(parent context.Context, id conductor.CallID) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	r.mu.Lock()
	r.aborts[id] = cancel
	r.mu.Unlock()
	return ctx, func() {
		r.mu.Lock()
		delete(r.aborts, id)
		r.mu.Unlock()
		cancel(nil)
	}
}

// endedAsUnreachable reports whether an attempt was aborted because its node is unreachable.
func endedAsUnreachable(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errUnreachable)
}
