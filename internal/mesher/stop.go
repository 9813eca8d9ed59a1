package mesher

// A planned stop answers every request that the node has read. Other nodes learn to send no more requests here, callers to send
// theirs elsewhere, and the local endpoint goes on making nested calls, so the node serves on until nothing is open or its time is
// up. Only then does it stop reading requests; it ends when those that it has read are answered and their connections closed.
//
// Example, with a grace time of 6 s: SIGTERM, readiness answers 503 at once; no request is open from 2.8 s on; at 3.1 s the node
// reads no further request, and ends as soon as its connections are closed. If requests never cease, it stops reading after
// 5.05 s, refuses after 5.3 s what is still at work, and ends 0.2 s later at the latest.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/relayer"
)

const (
	// minStopTime is the minimum time for which a stopping node serves: the platform checks its readiness once a second and
	// removes it after two failed checks, and the last requests of callers arrive a moment later.
	minStopTime = 3 * clock.Second
	// idleBeforeStop is how long no request must have been in flight before the node stops reading.
	idleBeforeStop = 300 * clock.Millisecond
	stopPollPeriod = 20 * clock.Millisecond
	// refusalTime is how long the refusals of what is still at work may take to be sent.
	refusalTime = 200 * clock.Millisecond
	// otherCloseTime is how long peers, the platform and the local endpoint's heartbeats may wait for their answers.
	otherCloseTime = 100 * clock.Millisecond
	// flushTimeout bounds the wait for the log's last lines.
	flushTimeout = 100 * clock.Millisecond
)

const (
	// endDivisor gives the end of the grace time, its last sixth, before which no request may be given up; of a long one the
	// last second is enough.
	endDivisor = 6
	maxEnd     = clock.Second
	// readEndRatio and answerEndRatio are the parts of that end that are left when the node stops reading and when it refuses
	// what is at work. On a fraction of a core the refusals, the last steps of a stop and throttling pauses of a tenth of a
	// second must fit into the latter.
	readEndRatio   = 0.95
	answerEndRatio = 0.7
)

// stopSchedule is when the steps of a planned stop happen at the latest.
type stopSchedule struct {
	begun clock.Time
	// readUntil is when the node stops reading requests, which is also the deadline of all that it accepts; answerUntil is
	// when requests that are still at work are refused.
	readUntil, answerUntil clock.Time
}

func newStopSchedule(begun clock.Time, grace clock.Duration) stopSchedule {
	killed := begun.Add(grace)
	end := float64(min(maxEnd, grace/endDivisor))
	return stopSchedule{
		begun:       begun,
		readUntil:   killed.Add(-clock.Duration(readEndRatio * end)),
		answerUntil: killed.Add(-clock.Duration(answerEndRatio * end)),
	}
}

// graceTime returns how long a planned stop may take.
func (n *node) graceTime() clock.Duration {
	return clock.Duration(n.grace.Load())
}

func (n *node) stop(context.Context) error {
	s := newStopSchedule(n.clock.Now(), n.graceTime())
	n.recorder.Event("node stopping", n.openWork()...)
	n.relayer.ApplyEvent(conductor.StopRequested{End: s.readUntil})
	n.relayer.Stop()
	n.awaitIdle(s)
	n.recorder.Event("node reads no further requests", append(n.openWork(), "afterMs", int64(n.clock.Now().Sub(s.begun)))...)
	for _, p := range []*pipeliner.Pipeliner{n.outbound, n.inbound} {
		if err := p.StopReading(); err != nil {
			n.recorder.Dependency("listener", err)
		}
	}
	if !n.awaitClosed(s.answerUntil) {
		n.recorder.Event("requests at work refused", n.openWork()...)
		n.cancelRequests(relayer.ErrStopped)
		n.awaitClosed(s.answerUntil.Add(refusalTime))
	}
	n.recorder.Event("node stopped", append(n.openWork(), "afterMs", int64(n.clock.Now().Sub(s.begun)))...)
	n.cancel()
	n.cancelRequests(relayer.ErrStopped)
	n.closeServers()
	n.recorder.Flush(flushTimeout)
	return nil
}

// awaitIdle waits until no request has been open for a while, or until the node must stop reading.
func (n *node) awaitIdle(s stopSchedule) {
	lastBusy := s.begun
	for now := s.begun; now < s.readUntil; now = n.clock.Now() {
		idle := false
		n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { idle = c.Idle() })
		if !idle {
			lastBusy = now
		}
		if now.Sub(s.begun) >= minStopTime && now.Sub(lastBusy) >= idleBeforeStop {
			return
		}
		time.Sleep(stopPollPeriod.Std())
	}
}

// awaitClosed waits until all connections of callers and other nodes are closed, and returns whether they are.
func (n *node) awaitClosed(until clock.Time) bool {
	for {
		open := n.outbound.Load().Open + n.inbound.Load().Open
		if open == 0 || n.clock.Now() >= until {
			return open == 0
		}
		time.Sleep(stopPollPeriod.Std())
	}
}

// closeServers ends all connections that are left, at once those of callers and other nodes' requests.
func (n *node) closeServers() {
	n.outbound.Close()
	n.inbound.Close()
	limited, cancel := context.WithTimeout(context.Background(), otherCloseTime.Std())
	defer cancel()
	var closing sync.WaitGroup
	for _, s := range n.servers {
		closing.Add(1)
		go func(s *http.Server) {
			defer closing.Done()
			if s.Shutdown(limited) != nil {
				// An error means that the connection is closed already.
				_ = s.Close()
			}
		}(s)
	}
	closing.Wait()
}

// openWork returns, for the log, how many requests and deliveries are open in the conductor, and what callers' connections
// hold.
func (n *node) openWork() []any {
	var requests, deliveries int
	n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { requests, deliveries = c.Open() })
	l := n.outbound.Load()
	return []any{
		"requests", requests, "deliveries", deliveries, "connections", l.Open, "answering", l.Answering, "ahead", l.Ahead,
	}
}
