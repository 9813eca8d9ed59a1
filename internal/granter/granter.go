// A Granter holds the purses of its node for all teams, and the bank of each slot whose claim the node holds. The
// purse is in purse.go and asker.go, the bank in bank.go, lender.go and borrower.go, the domains' shares in
// shares.go.
//
// Example: Spend("okhotskAgents", 1, 50) on an empty purse returns Wait; Tick(50) sends an Ask to the bank; receiving
// its Grant returns Resume{Call: 1}.

package granter

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// holder is the node that keeps the bank of one domain and slot, according to the log.
type holder struct {
	node  identifier.Node
	epoch identifier.Epoch
	// avoidUntil is set after unanswered requests or a NotHolder answer; until then the banks of other domains are
	// asked.
	avoidUntil clock.Time
}

type domain struct {
	name    identifier.FailureDomain
	holders []holder
}

// Granter is the state of the purses and banks of one node; create it with New.
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
	counters      counters
}

// New returns a Granter without teams and without known holders of banks.
func New(o Options) *Granter {
	o.setDefaults()
	g := &Granter{options: o, purses: map[identifier.Team]*purse{}, counters: counters{refused: map[Cause]uint64{}}}
	g.domain(o.Domain)
	for s := range o.Slots {
		g.banks = append(g.banks, &bank{
			slot: s, claim: ClaimName(o.Domain, s), accounts: map[identifier.Team]*account{},
		})
	}
	return g
}

// SetTeams applies the teams and shares of the preset in force. leastShares is for a node's first preset: the least
// share of each domain in all presets in force within the claims' long term, or nil if the shares never changed.
func (g *Granter) SetTeams(teams []definer.Team, sharesInForce, leastShares []definer.DomainShare, v identifier.Version, at clock.Time) []Effect {
	g.setShares(sharesInForce, leastShares, v, at)
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

// SetHolder sets the holder of the bank of a slot in a domain, as reported by the claimer; an empty node means that
// there is no holder.
func (g *Granter) SetHolder(d identifier.FailureDomain, slot int, node identifier.Node, e identifier.Epoch) {
	h := &g.domain(d).holders[slot]
	if e < h.epoch || h.node == node && h.epoch == e {
		return
	}
	*h = holder{node: node, epoch: e}
}

// OpenBank starts the bank of a slot with empty accounts; if the bank is open already, the new epoch continues the
// node's own and the accounts are kept.
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

// CloseBank closes the bank of a slot and discards its accounts.
func (g *Granter) CloseBank(slot int) {
	b := g.banks[slot]
	b.isOpen = false
	b.accounts = map[identifier.Team]*account{}
	b.sortedAccounts = nil
}

// Leave stops lending and recalls all loans, while purses continue to get slices. The claims can be handed over once
// Outstanding has fallen to the slice term, so that the successors wait only briefly before they grant.
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

// Outstanding returns how long anything that this node's banks granted or lent can still be used. It is at least a
// slice term, which covers slices granted until the banks stop.
func (g *Granter) Outstanding(now clock.Time) clock.Duration {
	longestLeft := g.options.SliceTerm
	for _, b := range g.banks {
		for _, a := range b.sortedAccounts {
			for _, br := range a.borrowers {
				for _, n := range br.loans {
					longestLeft = max(longestLeft, n.until.Sub(now))
				}
			}
		}
	}
	return longestLeft
}

// Receive handles a message from another node.
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

// Tick performs all due work; call it every 10 ms, and immediately after a Spend that returned Wait.
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

// send queues messages to this node within the process, since the bank is often on the same node as the purse.
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

// domain returns the state of a domain, creating it if needed; domains are kept sorted by name.
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

// bankOf returns the team's bank at this node, and whether the node has authority over it.
func (g *Granter) bankOf(t identifier.Team, now clock.Time) (*bank, bool) {
	b := g.banks[SlotOf(t, g.options.Slots)]
	return b, g.hasAuthority(b, now)
}

var _ Authority = (*claimer.Claimer)(nil)
