// A preset reaches the nodes at different times. As long as the domains' shares keep their proportion this is safe:
// each domain uses its share of the old or of the new rate. When proportions change, a domain that already uses its
// larger share would exceed the total together with one that still uses its old share. So a share grows only after
// every other domain has confirmed that it uses no more than its new share, or after that domain's holder must have
// stopped.
//
// Example: alfa goes from 250 to 500 per mille and bravo from 500 to 250. The holders at alfa ask the holders at
// bravo every 250 ms; these confirm once they use 250 per mille and no part of the former 500 is lent or outstanding.

package granter

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const queryPeriod = 250 * clock.Millisecond

// shares are the domains' shares in the preset in force.
type shares struct {
	known   bool
	version identifier.Version
	domains []definer.DomainShare
}

// shareIncrease is an increase of the share that a bank doesn't use yet.
type shareIncrease struct {
	// from is the share used until the increase takes effect.
	from     int
	awaiting []identifier.FailureDomain
	version  identifier.Version
	since    clock.Time
	queryAt  clock.Time
}

func shareOf(domains []definer.DomainShare, n identifier.FailureDomain) int {
	for _, d := range domains {
		if d.Domain == n {
			return d.PerMille
		}
	}
	return 0
}

func (s *shares) inForce(n identifier.FailureDomain) int {
	return shareOf(s.domains, n)
}

// share returns the per mille of each team's rate and burst that the bank uses before loans.
func (g *Granter) share(b *bank) int {
	s := g.shares.inForce(g.options.Domain)
	if b.shareIncrease != nil {
		return min(s, b.shareIncrease.from)
	}
	return s
}

// setShares starts from the share that each bank uses at this time. A node that starts with this preset can't know
// that share, so it assumes the least share that earlier presets may have left for its domain.
func (g *Granter) setShares(sharesInForce, leastShares []definer.DomainShare, v identifier.Version, at clock.Time) {
	own := g.options.Domain
	unchanged := g.shares.known && slices.Equal(g.shares.domains, sharesInForce)
	used := make([]int, len(g.banks))
	for i, b := range g.banks {
		switch {
		case g.shares.known:
			used[i] = g.share(b)
		case leastShares != nil:
			used[i] = shareOf(leastShares, own)
		default:
			used[i] = shareOf(sharesInForce, own)
		}
	}
	awaiting := otherDomains(own, g.shares.domains, sharesInForce, leastShares)
	g.shares = shares{known: true, version: v, domains: slices.Clone(sharesInForce)}
	for _, d := range sharesInForce {
		g.domain(d.Domain)
	}
	if unchanged {
		return
	}
	for i, b := range g.banks {
		b.shareIncrease = nil
		if used[i] < shareOf(sharesInForce, own) {
			b.shareIncrease = &shareIncrease{from: used[i], awaiting: slices.Clone(awaiting), version: v, since: at, queryAt: at}
		}
	}
}

// otherDomains lists all other domains that may use a share. A domain whose share grows must confirm as well: it may
// still use the share of an intermediate preset that this node hasn't read.
func otherDomains(own identifier.FailureDomain, lists ...[]definer.DomainShare) []identifier.FailureDomain {
	var others []identifier.FailureDomain
	for _, l := range lists {
		for _, d := range l {
			if d.Domain != own && !slices.Contains(others, d.Domain) {
				others = append(others, d.Domain)
			}
		}
	}
	return others
}

func (g *Granter) tickShares(now clock.Time) {
	for _, b := range g.banks {
		w := b.shareIncrease
		if w == nil {
			continue
		}
		if len(w.awaiting) == 0 || now >= w.since.Add(g.options.ShareTerm) {
			b.shareIncrease = nil
			g.applyRatesToBank(b, now)
			continue
		}
		if !b.isOpen || now < w.queryAt {
			continue
		}
		w.queryAt = now.Add(queryPeriod)
		for _, d := range w.awaiting {
			if h := g.domain(d).holders[b.slot]; h.node != "" {
				g.send(h.node, SharesQuery{
					Slot: b.slot, Domain: d, Version: w.version, PerMille: g.shares.inForce(d),
				})
			}
		}
	}
}

// receiveQuery confirms only as a holder with authority: its successors will have read the change too, since their
// records follow it on the log. It confirms only if it uses no more than the asker's preset allows and nothing
// remains lent or outstanding from a larger share. Its share grows again only by a later preset, which the asker must
// confirm first.
func (g *Granter) receiveQuery(from identifier.Node, m SharesQuery, now clock.Time) {
	known := m.Slot >= 0 && m.Slot < len(g.banks) && m.Domain == g.options.Domain
	if !known || g.shares.version < m.Version || !g.hasAuthority(g.banks[m.Slot], now) {
		return
	}
	b := g.banks[m.Slot]
	if g.share(b) > m.PerMille {
		return
	}
	for _, a := range b.sortedAccounts {
		g.advance(a, now)
		if a.lentCap() > a.cap || a.lentRate() > a.rate || a.outstanding > a.limit() {
			return
		}
	}
	g.send(from, SharesConfirm{Slot: m.Slot, Domain: m.Domain, Version: m.Version})
}

func (g *Granter) receiveConfirm(from identifier.Node, m SharesConfirm, now clock.Time) {
	if m.Slot < 0 || m.Slot >= len(g.banks) {
		return
	}
	w := g.banks[m.Slot].shareIncrease
	if w == nil || m.Version < w.version || g.domain(m.Domain).holders[m.Slot].node != from {
		return
	}
	w.awaiting = slices.DeleteFunc(w.awaiting, func(d identifier.FailureDomain) bool { return d == m.Domain })
	g.tickShares(now)
}
