// This file tracks the backend servers of this VM by their announcements and heartbeats. The load that a backend server
// reports is only a hint. Missing heartbeats, however, count as a failure, since there is no other failure detection for
// backend servers.
//
// Example: BackendAnnounced{ice-1} → gossip spreads the endpoint; no heartbeat for 1.5 s → the endpoint is removed.

package reducer

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
)

const (
	// heartbeatTimeout is three missed heartbeats.
	heartbeatTimeout = 1500 * clock.Millisecond
	// maxCountedGap is the most that one gap between two ticks counts: while the node itself stood still, heartbeats of its
	// backend servers waited unread.
	maxCountedGap = 200 * clock.Millisecond
	// leavingGracePeriod is how long a leaving backend server still accepts calls, for those that were sent before other
	// nodes knew that it is leaving.
	leavingGracePeriod = clock.Second
	// fullLoad is the reported load of a backend server all of whose slots are in use.
	fullLoad = 1000
)

type backend struct {
	id          identifier.Endpoint
	service     identifier.Service
	slots       int
	connections int
	limiter     *limiter.Limiter
	gate        *admitter.Gate
	chain       *admitter.Chain
	meter       retrier.Meter
	shares      *admitter.Shares
	// silence is the time without a heartbeat, as far as the node was awake.
	silence   clock.Duration
	leaving   bool
	leavingAt clock.Time
}

func (b *backend) refusesNew(now clock.Time) bool {
	return b.leaving && now.Sub(b.leavingAt) > leavingGracePeriod
}

// shedReason returns the reason for a call that the limiter shed: a leaving backend server, so that the call can go to
// another endpoint at once, or a full queue.
func (b *backend) shedReason() Reason {
	if b.leaving {
		return EndpointLeaving
	}
	return EndpointFull
}

func (s *State) backendAnnounced(e *BackendAnnounced) {
	b, known := s.backends[e.Endpoint]
	if !known {
		b = &backend{
			id:      e.Endpoint,
			gate:    admitter.NewGate(admitter.GateOptions{}),
			chain:   admitter.NewChain(admitter.ThresholdCacheOptions{}),
			shares:  admitter.NewShares(admitter.FairnessOptions{}),
			limiter: limiter.New(limiter.Options{Slots: e.Slots, ColdStart: e.ColdStart}, s.now),
		}
		s.backends[e.Endpoint] = b
	}
	b.service = e.Service
	b.slots = e.Slots
	b.connections = e.ConnectionLimit
	b.silence = 0
	b.leaving = false
	b.limiter.SetSlots(e.Slots, s.now)
	s.applyVerdicts(b, b.limiter.Tick(s.now, s.verdicts[:0]))
	state := gossiper.Ready
	if e.ColdStart > 0 && !known {
		state = gossiper.Cold
	}
	s.publishEndpoint(b, state)
}

func (s *State) publishEndpoint(b *backend, state gossiper.EndpointState) {
	s.applyGossip(s.gossiper.SetEndpoint(gossiper.Endpoint{
		ID:              b.id,
		Service:         b.service,
		Slots:           b.slots,
		ConnectionLimit: b.connections,
		State:           state,
	}, s.now))
}

func (s *State) backendReported(e *BackendReported) {
	b, ok := s.backends[e.Endpoint]
	if !ok {
		return
	}
	b.silence = 0
	b.limiter.ReportLoad(float64(e.Load)/fullLoad, s.now)
}

func (s *State) backendLeaving(e *BackendLeaving) {
	if b, ok := s.backends[e.Endpoint]; ok {
		s.startLeaving(b)
	}
}

func (s *State) startLeaving(b *backend) {
	if b.leaving {
		return
	}
	b.leaving = true
	b.leavingAt = s.now
	s.applyGossip(s.gossiper.LeaveEndpoint(b.id, s.now))
}

func (s *State) sortedBackends() []*backend {
	list := make([]*backend, 0, len(s.backends))
	for _, b := range s.backends {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *backend) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}

func (s *State) tickBackends(gap clock.Duration) {
	if len(s.backends) == 0 {
		return
	}
	for _, b := range s.sortedBackends() {
		s.tickBackend(b, gap)
	}
}

func (s *State) tickBackend(b *backend, gap clock.Duration) {
	b.gate.SetTarget(b.limiter.ExpectedDelay())
	b.gate.Observe(b.limiter.QueueDelay(s.now), s.now)
	s.applyVerdicts(b, b.limiter.Tick(s.now, s.verdicts[:0]))
	b.silence += gap
	if b.silence <= heartbeatTimeout {
		return
	}
	// Calls that are still running at the backend server are not ended here; they end with their connections.
	b.limiter.Drain()
	s.applyVerdicts(b, b.limiter.Tick(s.now, s.verdicts[:0]))
	delete(s.backends, b.id)
	s.applyGossip(s.gossiper.RemoveEndpoint(b.id, s.now))
	s.emit(Log{Message: "backend server silent, removed", Fields: []any{"endpoint", string(b.id)}})
}
