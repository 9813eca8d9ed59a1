package relayer

// A node is probed by opening a connection to it, which the other system answers even where its process is busy. One packet
// in thirty is lost on a bad link, and its system sends it again only after a second; so a second connection is opened
// beside the first.
//
// Example: no connection within 250 ms: the node counts as lost, and attempts under way there are ended.

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

// errUnreachable is why an attempt at a node that can't be reached is ended.
var errUnreachable = errors.New("node can't be reached")

// probeConnections is how many connections a probe opens.
const probeConnections = 2

// probe tells whether a node can be reached. One that refuses the connection can: only its process is gone.
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
	r.peers.Forget(p.Address)
}

// reportProbe tells the conductor, and the log where that changes what is believed of the node.
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

// watchAbort lets the attempt of a request be ended from outside until stop is called.
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

// endedAsUnreachable tells whether an attempt was ended since its node can't be reached.
func endedAsUnreachable(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errUnreachable)
}
