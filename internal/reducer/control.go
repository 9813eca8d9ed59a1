// This file handles the events that don't concern a call, a delivery or a backend server: messages from other nodes,
// records and failures of the log, the planned stop and ticks. It converts the effects of the individual packages into
// the node's effects; a message of a node to itself is handled within the reducer.

package reducer

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

func (s *State) reduceControl(event Event) {
	switch e := event.(type) {
	case *MessageReceived:
		s.wall = e.Wall
		s.receive(e.From, e.Message)
	case *RecordsRead:
		s.recordsRead(e)
	case *LogFailed:
		s.applyConfiguration(s.configurer.LogFailed(s.now))
	case *NodeLeaving:
		s.wall = e.Wall
		s.nodeLeaving()
	case *Tick:
		s.wall = e.Wall
		s.tick()
	}
}

func (s *State) receive(from identifier.Node, message any) {
	switch m := message.(type) {
	case claimer.PromiseRequest, claimer.Promise:
		s.applyClaims(s.claimer.Receive(from, m, s.now))
	case granter.Ask, granter.Grant, granter.LoanRequest, granter.Loan, granter.Recall,
		granter.SharesQuery, granter.SharesConfirm:
		s.applyGrants(s.granter.Receive(from, m, s.now))
	case deduplicator.BeginAnswer, deduplicator.ReportAnswer:
		s.applyIdempotency(s.asker.Receive(m, s.now))
	case deduplicator.HandoverAnswer:
		s.handoverConfirmed(from, m)
	case deduplicator.Handover:
		// A handover arrives before this node gains the claim, so there is no hold yet.
		s.applyIdempotency(s.owner.Receive(from, m, deduplicator.Hold{}, false, s.now, s.wall))
	case deduplicator.BeginRequest, deduplicator.FinishReport, deduplicator.AbandonReport:
		s.receiveAsOwner(from, m)
	case configurer.Tail, configurer.TailRequest, configurer.State, configurer.Hint:
		s.applyConfiguration(s.configurer.Receive(from, m, s.now, s.wall))
	default:
		s.applyGossip(s.gossiper.Receive(from, m, s.now))
	}
}

func (s *State) receiveAsOwner(from identifier.Node, m any) {
	claim, ok := deduplicator.ClaimOfMessage(m)
	if !ok {
		return
	}
	h, held := s.holdOf(claim)
	s.applyIdempotency(s.owner.Receive(from, m, h, held, s.now, s.wall))
}

// send emits a message to another node. A message to this node itself is not sent but handled immediately.
func (s *State) send(to identifier.Node, address string, message any) {
	if to == s.options.Self {
		s.receive(to, message)
		return
	}
	if address == "" {
		address, _ = s.gossiper.AddressOf(to)
	}
	if address == "" {
		return
	}
	s.emit(Send{To: to, Address: address, Message: message})
}

func (s *State) recordsRead(e *RecordsRead) {
	s.wall = e.Wall
	b := configurer.Batch{Earliest: e.Earliest, Next: e.Next, Asked: e.Asked}
	for _, r := range e.Records {
		b.Records = append(b.Records, configurer.Record{Offset: r.Offset, Raw: r.Data})
	}
	s.applyConfiguration(s.configurer.LogRead(b, s.now, s.wall))
}

func (s *State) applyConfiguration(effects []configurer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case configurer.Send:
			s.send(e.To, "", e.Message)
		case configurer.Append:
			s.emit(Append{Record: e.Record})
		case configurer.ReadLog:
			s.emit(ReadLog{From: e.From, Asked: e.Asked})
		case configurer.Deliver:
			s.deliverRecord(e)
		case configurer.Skipped:
			s.logStart = e.To
			s.applyClaims(s.claimer.SkipRecords(e.To, s.now))
		case configurer.Changed:
			s.configurationChanged(e)
		}
	}
}

func (s *State) deliverRecord(e configurer.Deliver) {
	if c, ok := e.Value.(claimer.Claim); ok {
		s.applyClaims(s.claimer.ReadRecord(e.Offset, c, s.now))
		s.updateRateHolder(c.Name)
		return
	}
	s.applyGossip(s.gossiper.ReadRecord(e.Value, s.now))
}

// updateRateHolder passes the current holder of a rate claim, which keeps the claim's bank, to the granter.
func (s *State) updateRateHolder(n claimer.Name) {
	domain, slot, ok := granter.ParseClaimName(n)
	if !ok {
		return
	}
	holder, epoch, known := s.claimer.HolderOf(n)
	if known {
		s.granter.SetHolder(domain, slot, holder, epoch)
	}
}

func (s *State) configurationChanged(e configurer.Changed) {
	p, version := s.configurer.InForce()
	if p == nil || (s.rules != nil && s.rules.preset == p) {
		return
	}
	var before []definer.DomainShare
	if s.rules != nil {
		before = s.rules.preset.Domains
	}
	s.rules = newRules(p, version)
	for _, t := range p.Teams {
		s.fairness.SetTeam(t.Name, t.Weight)
	}
	s.applyGrants(s.granter.SetTeams(p.Teams, p.Domains, before, version, s.now))
	s.emit(Log{Message: "preset in force", Fields: []any{"preset", string(p.Name), "version", int64(e.Version)}})
}

func (s *State) applyClaims(effects []claimer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claimer.Append:
			s.emit(Append{Record: e.Record})
		case claimer.Send:
			s.send(e.To, "", e.Message)
		case claimer.Gained:
			s.claimGained(e)
		case claimer.Lost:
			s.claimLost(e.Name)
		case claimer.Lapsed:
			s.emit(Log{Message: "claim lapsed", Fields: []any{
				"claim", string(e.Name), "epoch", int64(e.Epoch), "lease", string(e.Lease), "sinceMs", int64(e.Since),
			}})
		}
	}
}

func (s *State) claimGained(e claimer.Gained) {
	s.extendHold(e.Name, e.Epoch)
	if _, slot, ok := granter.ParseClaimName(e.Name); ok {
		s.applyGrants(s.granter.OpenBank(slot, e.Epoch, s.now))
	}
	s.emit(Log{Message: "claim gained", Fields: []any{"claim", string(e.Name), "epoch", int64(e.Epoch)}})
}

func (s *State) claimLost(n claimer.Name) {
	delete(s.holds, n)
	if _, slot, ok := granter.ParseClaimName(n); ok {
		s.granter.CloseBank(slot)
	} else {
		s.owner.Release(deduplicator.Claim(n))
	}
	s.emit(Log{Message: "claim lost", Fields: []any{"claim", string(n)}})
}

func (s *State) applyGossip(effects []gossiper.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case gossiper.Send:
			s.send(e.To, e.Address, e.Message)
		case gossiper.Append:
			s.emit(Append{Record: e.Record})
		case gossiper.EndpointChanged:
			s.endpointChanged(e.Endpoint)
		case gossiper.EndpointGone:
			s.router.Remove(e.ID)
		case gossiper.MembersChanged:
			s.membersChanged()
		case gossiper.StatusReceived:
			contact := configurer.Contact{Reader: e.Status.Reader, Stamp: e.Status.Stamp, Age: e.Status.Age}
			s.applyConfiguration(s.configurer.ReceivePeerStatus(e.Node, e.Status.Offset, contact, s.now))
		}
	}
}

func (s *State) endpointChanged(e gossiper.PlacedEndpoint) {
	s.router.Put(router.Endpoint{
		ID:              e.ID,
		Node:            e.Node,
		Service:         e.Service,
		Domain:          e.Domain,
		Slots:           e.Slots,
		ConnectionLimit: e.ConnectionLimit,
		State:           routerState(e.State),
	}, s.now)
	s.resumeWaiting(e.Service)
}

func routerState(state gossiper.EndpointState) router.State {
	switch state {
	case gossiper.Cold:
		return router.Cold
	case gossiper.Leaving:
		return router.Leaving
	default:
		return router.Ready
	}
}

// assumeAlone makes a node that has found no other member for aloneTimeout the only member of its failure domain, and
// thereby a reader of the log. Otherwise it would read the log only once its last news of the log was stale, and a
// withdrawn key would remain valid there for seconds longer. Without the timeout, all nodes of a restarted failure
// domain would read the log at the same time.
func (s *State) assumeAlone() {
	if s.startedAt == 0 {
		s.startedAt = s.now
	}
	if !s.membersKnown && s.now.Sub(s.startedAt) >= aloneTimeout {
		s.membersChanged()
	}
}

func (s *State) membersChanged() {
	s.membersKnown = true
	members := s.gossiper.Members()
	s.applyClaims(s.claimer.SetMembers(withSelf(members, s.options.Self), s.now))
	others := slices.DeleteFunc(slices.Clone(members), func(n identifier.Node) bool { return n == s.options.Self })
	var remote []identifier.Node
	for _, c := range s.gossiper.Contacts() {
		remote = append(remote, c.Node)
	}
	s.configurer.SetPeers(others, remote)
}

func withSelf(members []identifier.Node, self identifier.Node) []identifier.Node {
	list := slices.Clone(members)
	if !slices.Contains(list, self) {
		list = append(list, self)
	}
	slices.SortFunc(list, func(a, b identifier.Node) int { return strings.Compare(string(a), string(b)) })
	return list
}

const (
	// slowTickInterval is the interval between ticks of the packages that are not time-critical.
	slowTickInterval = 100 * clock.Millisecond
	// aloneTimeout is how long a node waits for other members before it assumes that it is the only one.
	aloneTimeout = 500 * clock.Millisecond
	// maxLogAge is the age of the last news of the log up to which the log counts as readable.
	maxLogAge = 3 * clock.Second
)

func (s *State) tick() {
	gap := clock.Duration(0)
	if s.lastTick != 0 {
		gap = s.now.Sub(s.lastTick)
	}
	s.lastTick = s.now
	s.counters.MaxTickGap = max(s.counters.MaxTickGap, gap)
	// A longer gap is a pause, which shedding can't shorten.
	gap = min(gap, maxCountedGap)
	s.entryGate.Observe(gap, s.now)
	s.tickBackends(gap)
	s.applyGrants(s.granter.Tick(s.now))
	s.applyIdempotency(s.asker.Tick(s.now))
	s.expireWaiting()
	if s.now.Sub(s.lastSlowTick) < slowTickInterval {
		return
	}
	s.lastSlowTick = s.now
	s.assumeAlone()
	s.gossiper.SetStatus(s.status())
	s.applyGossip(s.gossiper.Tick(s.now))
	s.applyConfiguration(s.configurer.Tick(s.now, s.wall))
	s.applyClaims(s.claimer.SetLog(s.configurer.Freshness(s.now) <= maxLogAge, s.logStart, s.now))
	s.applyClaims(s.claimer.Tick(s.now))
	s.owner.Tick(s.now, s.wall)
	s.tickLeaving()
}

func (s *State) status() gossiper.Status {
	contact := s.configurer.Contact(s.now)
	status := gossiper.Status{
		Offset:  s.configurer.Offset(),
		Version: s.configurer.Version(),
		Reader:  contact.Reader,
		Stamp:   contact.Stamp,
		Age:     contact.Age,
	}
	if p, _ := s.configurer.InForce(); p != nil {
		status.InForce = p.Name
	}
	return status
}
