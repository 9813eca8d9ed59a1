// One Granter is the purse of its node for all teams, and the bank of each slot whose claim the node holds. The
// purse is in purse.go and asker.go, the bank in bank.go, lender.go and borrower.go, shares in shares.go.
//
// Example: Spend("okhotskAgents", 1, 50) on an empty purse gives Wait; Tick(50) sends an Ask to the bank; Receive
// of its Grant gives Resume{Call: 1}.

package granter

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// holder is the node that keeps the bank of one domain and slot, as the log has it.
type holder struct {
	node  identifier.Node
	epoch identifier.Epoch
	// avoidUntil is set after silence, so that other domains' banks are asked meanwhile.
	avoidUntil clock.Time
}

type domain struct {
	name    identifier.FailureDomain
	holders []holder
}

// Granter is the state; make one with New.
type Granter struct {
	options       Options
	domains       []*domain
	purses        map[identifier.Team]*purse
	sortedPurses  []*purse
	banks         []*bank
	shares        shares
	number        uint64
	effects       []Effect
	localMessages []any
	leaving       bool
}

// New returns a Granter that knows of no team and no holder.
func New(o Options) *Granter {
	o.setDefaults()
	g := &Granter{options: o, purses: map[identifier.Team]*purse{}}
	g.domain(o.Domain)
	for s := range o.Slots {
		g.banks = append(g.banks, &bank{
			slot: s, claim: ClaimName(o.Domain, s), accounts: map[identifier.Team]*account{},
		})
	}
	return g
}

// SetTeams takes the teams and shares of the preset in force. before is for a node's first preset: the least share
// of each domain in all presets in force within the claims' long term, or nil if the shares were always the same.
func (g *Granter) SetTeams(teams []definer.Team, now, leastShares []definer.DomainShare, v identifier.Version, at clock.Time) []Effect {
	g.setShares(now, leastShares, v, at)
	fresh := make(map[identifier.Team]*purse, len(teams))
	for _, t := range teams {
		p := g.purses[t.Name]
		if p == nil {
			p = newPurse(t.Name, SlotOf(t.Name, g.options.Slots), g.options.MaxWaiters)
		}
		p.rate = t.Rate
		p.burst = t.Burst
		fresh[t.Name] = p
	}
	for _, p := range g.sortedPurses {
		if fresh[p.team] == nil {
			g.refuseWaiters(p)
		}
	}
	g.purses = fresh
	g.sortedPurses = g.sortedPurses[:0]
	for _, p := range fresh {
		g.sortedPurses = append(g.sortedPurses, p)
	}
	slices.SortFunc(g.sortedPurses, func(a, b *purse) int { return strings.Compare(string(a.team), string(b.team)) })
	g.orderDomains()
	g.applyRates(at)
	return g.finish(at)
}

// SetHolder tells who holds the bank of a slot in a domain, as the claimer has it; an empty node is nobody.
func (g *Granter) SetHolder(d identifier.FailureDomain, slot int, node identifier.Node, e identifier.Epoch) {
	h := &g.domain(d).holders[slot]
	if e < h.epoch || h.node == node && h.epoch == e {
		return
	}
	*h = holder{node: node, epoch: e}
}

// OpenBank begins the bank of a slot, empty; an epoch that continues one's own keeps the bank as it is.
func (g *Granter) OpenBank(slot int, e identifier.Epoch, now clock.Time) []Effect {
	b := g.banks[slot]
	b.epoch = e
	if !b.isOpen {
		b.isOpen = true
		b.accounts = map[identifier.Team]*account{}
		b.sortedAccounts = nil
		g.applyRatesToBank(b, now)
	}
	return nil
}

// CloseBank ends the bank of a slot.
func (g *Granter) CloseBank(slot int) {
	b := g.banks[slot]
	b.isOpen = false
	b.accounts = map[identifier.Team]*account{}
	b.sortedAccounts = nil
}

// Leave ends lending and calls back what is lent, while purses go on getting slices. The claims can be handed over
// when Outstanding has fallen to a slice term, so that the successors have little to wait out.
func (g *Granter) Leave(now clock.Time) []Effect {
	g.leaving = true
	for _, b := range g.banks {
		for _, a := range b.sortedAccounts {
			a.recallAt = now
			g.recall(a, now)
		}
	}
	return g.finish(now)
}

// Outstanding is how long anything that the banks here gave away can still be used: at least a slice term, for what
// they may grant until they stop.
func (g *Granter) Outstanding(now clock.Time) clock.Duration {
	longestLeft := g.options.SliceTerm
	for _, b := range g.banks {
		for _, a := range b.sortedAccounts {
			for _, l := range a.lent {
				for _, n := range l.loans {
					longestLeft = max(longestLeft, n.until.Sub(now))
				}
			}
		}
	}
	return longestLeft
}

// Receive takes a message from another node.
func (g *Granter) Receive(from identifier.Node, message any, now clock.Time) []Effect {
	g.dispatch(from, message, now)
	return g.finish(now)
}

func (g *Granter) dispatch(from identifier.Node, message any, now clock.Time) {
	switch m := message.(type) {
	case Ask:
		g.receiveAsk(from, m, now)
	case Grant:
		g.receiveGrant(from, m, now)
	case LoanRequest:
		g.receiveLoanRequest(from, m, now)
	case Loan:
		g.receiveLoan(from, m, now)
	case Recall:
		g.receiveRecall(from, m, now)
	case SharesQuery:
		g.receiveQuery(from, m, now)
	case SharesConfirm:
		g.receiveConfirm(from, m, now)
	}
}

// Tick does what is due; call it every 10 ms, and at once after a Spend that gave Wait.
func (g *Granter) Tick(now clock.Time) []Effect {
	for _, p := range g.sortedPurses {
		if p.active {
			g.tickPurse(p, now)
		}
	}
	g.tickShares(now)
	for _, b := range g.banks {
		if b.isOpen {
			g.tickBank(b, now)
		}
	}
	return g.finish(now)
}

// send keeps messages to this node itself in the process; the bank is often at the same node as the purse.
func (g *Granter) send(to identifier.Node, message any) {
	if to == g.options.Self {
		g.localMessages = append(g.localMessages, message)
		return
	}
	g.effects = append(g.effects, Send{To: to, Message: message})
}

func (g *Granter) finish(now clock.Time) []Effect {
	for len(g.localMessages) > 0 {
		m := g.localMessages[0]
		g.localMessages = g.localMessages[1:]
		g.dispatch(g.options.Self, m, now)
	}
	effects := g.effects
	g.effects = nil
	return effects
}

func (g *Granter) nextNumber() uint64 {
	g.number++
	return g.number
}

// domain returns the state of a domain and keeps the domains sorted by name.
func (g *Granter) domain(n identifier.FailureDomain) *domain {
	i, ok := slices.BinarySearchFunc(g.domains, n, func(d *domain, n identifier.FailureDomain) int {
		return strings.Compare(string(d.name), string(n))
	})
	if !ok {
		d := &domain{name: n, holders: make([]holder, g.options.Slots)}
		g.domains = slices.Insert(g.domains, i, d)
		g.orderDomains()
	}
	return g.domains[i]
}

func (g *Granter) hasAuthority(b *bank, now clock.Time) bool {
	if !b.isOpen {
		return false
	}
	_, ok := g.options.Authority.Holds(b.claim, now)
	return ok
}

// bankOf returns the bank for the team when it is kept here.
func (g *Granter) bankOf(t identifier.Team, now clock.Time) (*bank, bool) {
	b := g.banks[SlotOf(t, g.options.Slots)]
	return b, g.hasAuthority(b, now)
}

var _ Authority = (*claimer.Claimer)(nil)
