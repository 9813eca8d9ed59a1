// The backend servers of this VM, as they announced themselves. What a backend server says of its load is a hint;
// silence, though, means that it is gone, since nothing else would tell.
//
// Example: BackendAnnounced{ice-1} → gossip tells the fleet; no heartbeat for 1.5 s → the endpoint is removed.

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
	// heartbeatBound is three missed heartbeats.
	heartbeatBound = 1500 * clock.Millisecond
	// leaveGrace is how long calls that were already on their way to a leaving backend server are still taken.
	leaveGrace = clock.Second
	loadUnit   = 1000
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
	heardAt     clock.Time
	leaving     bool
	leavingAt   clock.Time
}

func (b *backend) refusesNew(now clock.Time) bool {
	return b.leaving && now.Sub(b.leavingAt) > leaveGrace
}

// A call that the limiter shed on a leaving backend server can go to another at once; otherwise its queue was full.
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
			chain:   admitter.NewChain(admitter.BoardOptions{}),
			shares:  admitter.NewShares(admitter.FairnessOptions{}),
			limiter: limiter.New(limiter.Options{Slots: e.Slots, ColdStart: e.ColdStart}, s.now),
		}
		s.backends[e.Endpoint] = b
	}
	b.service = e.Service
	b.slots = e.Slots
	b.connections = e.ConnectionLimit
	b.heardAt = s.now
	b.leaving = false
	b.limiter.SetSlots(e.Slots, s.now)
	s.carryOut(b, b.limiter.Tick(s.now, s.verdicts[:0]))
	state := gossiper.Ready
	if e.ColdStart > 0 && !known {
		state = gossiper.Cold
	}
	s.publishEndpoint(b, state)
}

func (s *State) publishEndpoint(b *backend, state gossiper.EndpointState) {
	s.gossip(s.gossiper.SetEndpoint(gossiper.Endpoint{
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
	b.heardAt = s.now
	b.limiter.ReportLoad(float64(e.Load)/loadUnit, s.now)
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
	s.gossip(s.gossiper.LeaveEndpoint(b.id, s.now))
}

func (s *State) sortedBackends() []*backend {
	list := make([]*backend, 0, len(s.backends))
	for _, b := range s.backends {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *backend) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}

func (s *State) tickBackends() {
	if len(s.backends) == 0 {
		return
	}
	for _, b := range s.sortedBackends() {
		s.tickBackend(b)
	}
}

func (s *State) tickBackend(b *backend) {
	b.gate.SetTarget(b.limiter.ExpectedDelay())
	b.gate.Observe(b.limiter.QueueDelay(s.now), s.now)
	s.carryOut(b, b.limiter.Tick(s.now, s.verdicts[:0]))
	if s.now.Sub(b.heardAt) <= heartbeatBound {
		return
	}
	// Calls that it still works on are left to their own fate; their connections tell.
	b.limiter.Drain()
	s.carryOut(b, b.limiter.Tick(s.now, s.verdicts[:0]))
	delete(s.backends, b.id)
	s.gossip(s.gossiper.RemoveEndpoint(b.id, s.now))
	s.emit(Log{Message: "backend server silent, removed", Fields: []any{"endpoint", string(b.id)}})
}
