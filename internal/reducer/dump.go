// A dump is a consistent snapshot of the node's state, with which operators diagnose the fleet's behavior. It contains
// hashes of keys only; the keys themselves are never passed to the reducer.

package reducer

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Dump is a snapshot of a node's state.
type Dump struct {
	Node       identifier.Node
	Domain     identifier.FailureDomain
	Address    string
	Leaving    bool
	Status     Status
	Offset     identifier.Offset
	Keys       []KeyDump
	Calls      int
	Deliveries int
	Counters   CountersDump
	// EntryThreshold is the highest rank of root calls that is admitted while this node is late.
	EntryThreshold identifier.Threshold
	Backends       []BackendDump
	Members        []identifier.Node
	Endpoints      []gossiper.PlacedEndpoint
	Contacts       []gossiper.Contact
	Claims         []claimer.State
	Rates          granter.State
	// IDRecords is the number of idempotency ids that this node has a record of as their owner, IDReports the number of
	// outcomes that it has reported to the owners of their ids and that are not acknowledged yet.
	IDRecords int
	IDReports int
}

// Status is the configuration in force at a node.
type Status struct {
	Preset  identifier.Preset
	Version identifier.Version
	// Silence is the age of the node's newest information from the log.
	Silence clock.Duration
}

// KeyDump is the public part of a key.
type KeyDump struct {
	Hash      identifier.KeyHash
	Team      identifier.Team
	Withdrawn bool
}

// CountersDump is Counters with the refusals sorted by reason.
type CountersDump struct {
	Entered    uint64
	Nested     uint64
	Forwarded  uint64
	Retried    uint64
	Delivered  uint64
	Dispatched uint64
	Refused    []RefusedCount
	MaxTickGap clock.Duration
}

// RefusedCount is the number of refusals with a reason.
type RefusedCount struct {
	Reason Reason
	Count  uint64
}

// BackendDump is the state of a backend server of this VM.
type BackendDump struct {
	Endpoint  identifier.Endpoint
	Service   identifier.Service
	Slots     int
	Limit     int
	InFlight  int
	Queued    int
	Threshold identifier.Threshold
	State     string
}

// Dump returns a snapshot of the state.
func (s *State) Dump(now clock.Time) Dump {
	d := Dump{
		Node:           s.options.Self,
		Domain:         s.options.Domain,
		Address:        s.options.Address,
		Leaving:        s.leaving != nil,
		Status:         s.Status(now),
		Offset:         s.configurer.Offset(),
		Calls:          len(s.calls),
		Deliveries:     len(s.deliveries),
		Counters:       s.Counters(),
		EntryThreshold: s.entryGate.Threshold(),
		Members:        s.gossiper.Members(),
		Contacts:       s.gossiper.Contacts(),
		Claims:         s.claimer.Dump(now),
		Rates:          s.granter.Dump(now),
		IDRecords:      s.owner.Records(),
		IDReports:      s.asker.Reports(),
	}
	for _, k := range s.configurer.Keys() {
		d.Keys = append(d.Keys, KeyDump{Hash: k.Key.Hash, Team: k.Key.Team, Withdrawn: k.Withdrawn})
	}
	for _, b := range s.sortedBackends() {
		d.Backends = append(d.Backends, b.dump())
	}
	for _, service := range s.interestList() {
		d.Endpoints = append(d.Endpoints, s.gossiper.Endpoints(service)...)
	}
	return d
}

func (s *State) interestList() []identifier.Service {
	list := make([]identifier.Service, 0, len(s.interests))
	for service := range s.interests {
		list = append(list, service)
	}
	slices.SortFunc(list, func(a, b identifier.Service) int { return strings.Compare(string(a), string(b)) })
	return list
}

// Status returns the configuration in force; a node that has not yet read the configuration to the end has none.
func (s *State) Status(now clock.Time) Status {
	st := Status{Silence: s.configurer.Freshness(now)}
	if st.Silence >= configurer.NoContact {
		return st
	}
	st.Version = s.configurer.Version()
	if p, _ := s.configurer.InForce(); p != nil {
		st.Preset = p.Name
	}
	return st
}

// FleetStatus returns the configuration in force at each member of this node's failure domain, as last received by
// gossip.
func (s *State) FleetStatus() map[identifier.Node]Status {
	fleet := make(map[identifier.Node]Status)
	for _, n := range s.gossiper.Members() {
		h, ok := s.gossiper.StatusOf(n)
		if !ok {
			continue
		}
		fleet[n] = Status{Preset: h.InForce, Version: h.Version, Silence: h.Age}
	}
	return fleet
}

// Counters returns the node's counters since its start.
func (s *State) Counters() CountersDump {
	c := CountersDump{
		Entered:    s.counters.Entered,
		Nested:     s.counters.Nested,
		Forwarded:  s.counters.Forwarded,
		Retried:    s.counters.Retried,
		Delivered:  s.counters.Delivered,
		Dispatched: s.counters.Dispatched,
		MaxTickGap: s.counters.MaxTickGap,
	}
	for r, n := range s.counters.Refused {
		c.Refused = append(c.Refused, RefusedCount{Reason: r, Count: n})
	}
	slices.SortFunc(c.Refused, func(a, b RefusedCount) int { return strings.Compare(string(a.Reason), string(b.Reason)) })
	return c
}

// BackendState returns the state of one backend server of this VM.
func (s *State) BackendState(id identifier.Endpoint) (BackendDump, bool) {
	b, ok := s.backends[id]
	if !ok {
		return BackendDump{}, false
	}
	return b.dump(), true
}

func (b *backend) dump() BackendDump {
	state := "ready"
	if b.leaving {
		state = "leaving"
	}
	return BackendDump{
		Endpoint:  b.id,
		Service:   b.service,
		Slots:     b.slots,
		Limit:     b.limiter.Limit(),
		InFlight:  b.limiter.InFlight(),
		Queued:    b.limiter.Queued(),
		Threshold: b.gate.Threshold(),
		State:     state,
	}
}
