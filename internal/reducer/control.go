// Everything that is not a call: messages of other nodes, records of the log, time going by. Each matter's effects
// are turned into the node's own here; a message from a node to itself is handed over without leaving the reducer.

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
		s.configure(s.configurer.LogFailed(s.now))
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
		s.claim(s.claimer.Receive(from, m, s.now))
	case granter.Ask, granter.Grant, granter.LoanRequest, granter.Loan, granter.Recall,
		granter.SharesQuery, granter.SharesConfirm:
		s.grant(s.granter.Receive(from, m, s.now))
	case deduplicator.BeginAnswer, deduplicator.ReportAnswer:
		s.ask(s.asker.Receive(m, s.now))
	case deduplicator.HandoverAnswer:
		s.handedOver(from, m)
	case deduplicator.Handover:
		// It comes before the claim does, so there is no hold yet.
		s.ask(s.owner.Receive(from, m, deduplicator.Hold{}, false, s.now, s.wall))
	case deduplicator.BeginRequest, deduplicator.FinishReport, deduplicator.AbandonReport:
		s.receiveAsOwner(from, m)
	case configurer.Tail, configurer.TailRequest, configurer.State, configurer.Hint:
		s.configure(s.configurer.Receive(from, m, s.now, s.wall))
	default:
		s.gossip(s.gossiper.Receive(from, m, s.now))
	}
}

func (s *State) receiveAsOwner(from identifier.Node, m any) {
	claim, ok := deduplicator.ClaimOfMessage(m)
	if !ok {
		return
	}
	h, held := s.hold(claim)
	s.ask(s.owner.Receive(from, m, h, held, s.now, s.wall))
}

// send keeps a message to this node itself inside; it is taken in as soon as the present event is done with.
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
	s.configure(s.configurer.LogRead(b, s.now, s.wall))
}

func (s *State) configure(effects []configurer.Effect) {
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
			s.claim(s.claimer.SkipRecords(e.To, s.now))
		case configurer.Changed:
			s.configurationChanged(e)
		}
	}
}

func (s *State) deliverRecord(e configurer.Deliver) {
	if c, ok := e.Value.(claimer.Claim); ok {
		s.claim(s.claimer.ReadRecord(e.Offset, c, s.now))
		s.followHolder(c.Name)
		return
	}
	s.gossip(s.gossiper.ReadRecord(e.Value, s.now))
}

// followHolder tells the granter who keeps the bank of a rate claim now.
func (s *State) followHolder(n claimer.Name) {
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
	s.grant(s.granter.SetTeams(p.Teams, p.Domains, before, version, s.now))
	s.emit(Log{Message: "preset in force", Fields: []any{"preset", string(p.Name), "version", int64(e.Version)}})
}

func (s *State) claim(effects []claimer.Effect) {
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
		}
	}
}

func (s *State) claimGained(e claimer.Gained) {
	s.noteGained(e.Name, e.Epoch)
	if _, slot, ok := granter.ParseClaimName(e.Name); ok {
		s.grant(s.granter.Own(slot, e.Epoch, s.now))
	}
	s.emit(Log{Message: "claim gained", Fields: []any{"claim", string(e.Name), "epoch", int64(e.Epoch)}})
}

func (s *State) claimLost(n claimer.Name) {
	delete(s.gained, n)
	if _, slot, ok := granter.ParseClaimName(n); ok {
		s.granter.Disown(slot)
	} else {
		s.owner.Release(deduplicator.Claim(n))
	}
	s.emit(Log{Message: "claim lost", Fields: []any{"claim", string(n)}})
}

func (s *State) gossip(effects []gossiper.Effect) {
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
			s.configure(s.configurer.PeerNews(e.Node, e.Status.Offset, contact, s.now))
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
	s.resumeSearch(e.Service)
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

// noticeAlone lets a node that has met nobody for a while count itself as its failure domain's only member, and so as a
// reader of the log. Left to wait for others it would read only once its news was stale, and a withdrawn key would go on
// working there for seconds longer. It waits a moment first, or a whole domain that returns would read the log at once.
func (s *State) noticeAlone() {
	if s.startedAt == 0 {
		s.startedAt = s.now
	}
	if !s.met && s.now.Sub(s.startedAt) >= aloneAfter {
		s.membersChanged()
	}
}

func (s *State) membersChanged() {
	s.met = true
	members := s.gossiper.Members()
	s.claim(s.claimer.SetMembers(withSelf(members, s.options.Self), s.now))
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
	// slowTick is how often the matters that need no hurry are ticked.
	slowTick = 100 * clock.Millisecond
	// aloneAfter is how long a node waits for others before it takes itself for the only one.
	aloneAfter = 500 * clock.Millisecond
	// logFresh is the age of news up to which the log counts as readable.
	logFresh = 3 * clock.Second
)

func (s *State) tick() {
	s.tickBackends()
	s.grant(s.granter.Tick(s.now))
	s.ask(s.asker.Tick(s.now))
	s.tickSearch()
	if s.now.Sub(s.slowAt) < slowTick {
		return
	}
	s.slowAt = s.now
	s.noticeAlone()
	s.gossiper.SetStatus(s.news())
	s.gossip(s.gossiper.Tick(s.now))
	s.configure(s.configurer.Tick(s.now, s.wall))
	s.claim(s.claimer.SetLog(s.configurer.Freshness(s.now) <= logFresh, s.logStart, s.now))
	s.claim(s.claimer.Tick(s.now))
	s.owner.Tick(s.now, s.wall)
	s.tickLeaving()
}

func (s *State) news() gossiper.Status {
	contact := s.configurer.Contact(s.now)
	n := gossiper.Status{
		Offset:  s.configurer.Offset(),
		Version: s.configurer.Version(),
		Reader:  contact.Reader,
		Stamp:   contact.Stamp,
		Age:     contact.Age,
	}
	if p, _ := s.configurer.InForce(); p != nil {
		n.InForce = p.Name
	}
	return n
}
