// How a purse requests its slices: from the bank of its own domain as long as that bank answers, otherwise from the bank
// of another domain. The next request is sent when the last one was answered or is overdue. The answer to an overdue
// request is accepted as long as its tokens can be spent, unless a later answer of the same bank shows that it was lost.
//
// Example: the bank of alfa leaves two requests unanswered for 100 ms each; for the next second the purse asks the
// bank of bravo, so the team continues with the tokens that bravo has, and then tries alfa again.

package granter

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// maxUnansweredRequests is the number of consecutive unanswered requests after which the purse asks another
	// domain.
	maxUnansweredRequests = 2
	avoidTerm             = clock.Second
	// overdueTerms is the number of slice terms for which an unanswered request is remembered, so that tokens that
	// arrive too late to be spent can be returned.
	overdueTerms = 4
	// minBurstShareCalls is the share of the burst, in calls, below which a team's tokens are pooled at the bank of
	// one domain.
	minBurstShareCalls = 2
)

// request is a purse's request to a bank.
type request struct {
	domain  *domain
	node    identifier.Node
	number  uint64
	askedAt clock.Time
}

// orderDomains sets the order in which each purse asks the domains' banks. A team whose burst comes to less than two
// calls in some domain can't be served from the separate shares, so all nodes ask the bank with the largest share
// first, which borrows from the others. Otherwise two domains with half a call each would wait for one another
// indefinitely.
func (g *Granter) orderDomains() {
	for _, p := range g.sortedPurses {
		p.pooled = g.isPooled(p.burst)
		p.order = p.order[:0]
		for _, d := range g.domains {
			if g.shares.inForce(d.name) > 0 || d.name == g.options.Domain {
				p.order = append(p.order, d)
			}
		}
		slices.SortFunc(p.order, func(a, b *domain) int {
			if !p.pooled && a.name != b.name {
				if a.name == g.options.Domain {
					return -1
				}
				if b.name == g.options.Domain {
					return 1
				}
			}
			if d := g.shares.inForce(b.name) - g.shares.inForce(a.name); d != 0 {
				return d
			}
			return compareDomainScores(p.team, a.name, b.name)
		})
	}
}

func (g *Granter) isPooled(burst identifier.Tokens) bool {
	for _, d := range g.domains {
		s := g.shares.inForce(d.name)
		if s > 0 && burst*identifier.Tokens(s)/1000 < minBurstShareCalls*identifier.TokensPerCall {
			return true
		}
	}
	return false
}

func compareDomainScores(t identifier.Team, a, b identifier.FailureDomain) int {
	seed := xxh3.HashString(string(t))
	x, y := xxh3.HashStringSeed(string(a), seed), xxh3.HashStringSeed(string(b), seed)
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	}
	return 0
}

// chooseBank returns the first domain whose holder is known and has answered recently, or else the first whose holder
// is known.
func (p *purse) chooseBank(now clock.Time) *domain {
	var fallback *domain
	for _, d := range p.order {
		h := &d.holders[p.slot]
		if h.node == "" {
			continue
		}
		if now >= h.avoidUntil {
			return d
		}
		if fallback == nil {
			fallback = d
		}
	}
	return fallback
}

// askBanks sends a request if tokens are needed or ended slices must be returned.
func (g *Granter) askBanks(p *purse, now clock.Time) {
	if p.pending && now < p.current.askedAt.Add(g.answerBound(p)) {
		return
	}
	g.markOverdue(p, now)
	p.dropExpiredReports(now)
	want := p.want(now, g.lookahead(p))
	if now < p.nextAsk {
		want = 0
	}
	if want > 0 && len(p.slices) < maxSlices {
		if d := p.chooseBank(now); d != nil {
			g.sendAsk(p, d, want, now)
			p.pending = true
			p.current = request{domain: d, node: d.holders[p.slot].node, number: g.number, askedAt: now}
			g.counters.requests++
		}
	}
	for len(p.ended) > 0 {
		d := g.domain(p.ended[0].domain)
		g.sendAsk(p, d, 0, now)
	}
	if !p.pending && p.reportedDemand > 0 && p.idle(now) {
		g.sendAsk(p, p.current.domain, 0, now)
	}
}

// answerBound is how long an answer is awaited before the next request. It follows the measured round trip: with a
// bound below it, each request would be repeated although its answer is on the way.
func (g *Granter) answerBound(p *purse) clock.Duration {
	return min(max(g.options.AnswerBound, 2*p.roundTrip), g.options.SliceTerm-g.options.RenewBefore)
}

// lookahead is the time whose expected calls the tokens must cover; new tokens arrive a round trip after the request.
func (g *Granter) lookahead(p *purse) clock.Duration {
	return g.options.Lookahead + min(p.roundTrip, g.options.SliceTerm/2)
}

// markOverdue counts an unanswered request. Its answer is still accepted: a bank whose answers take longer than the
// bound would otherwise give tokens out that nobody spends.
func (g *Granter) markOverdue(p *purse, now clock.Time) {
	p.overdue = slices.DeleteFunc(p.overdue, func(r request) bool {
		return now >= r.askedAt.Add(overdueTerms*g.options.SliceTerm)
	})
	if !p.pending {
		return
	}
	p.pending = false
	p.overdue = append(p.overdue, p.current)
	g.counters.unanswered++
	p.unansweredRequests++
	if p.unansweredRequests >= maxUnansweredRequests {
		p.unansweredRequests = 0
		p.current.domain.holders[p.slot].avoidUntil = now.Add(avoidTerm)
	}
}

// takeRequest removes the request that an answer belongs to.
func (p *purse) takeRequest(from identifier.Node, number uint64) (r request, ok bool) {
	if p.pending && p.current.number == number && p.current.node == from {
		p.pending = false
		return p.current, true
	}
	i := slices.IndexFunc(p.overdue, func(r request) bool { return r.number == number && r.node == from })
	if i < 0 {
		return request{}, false
	}
	r = p.overdue[i]
	p.overdue = slices.Delete(p.overdue, i, i+1)
	return r, true
}

// abandonBefore abandons the requests to the same node that precede an answered one: messages between two nodes
// arrive in order, so their answers were lost, and the bank takes their tokens back.
func (g *Granter) abandonBefore(p *purse, answered request) {
	p.overdue = slices.DeleteFunc(p.overdue, func(r request) bool {
		lost := r.node == answered.node && r.number < answered.number
		if lost {
			p.queueReturn(r.domain.name, Returned{Number: r.number, Unspent: Unapplied}, r.askedAt.Add(g.options.SliceTerm))
		}
		return lost
	})
}

// sendAsk includes the ended slices of the domain that is asked. They are reported once: if the message is lost,
// their tokens count as spent when the slice expires at the bank.
func (g *Granter) sendAsk(p *purse, d *domain, want identifier.Tokens, now clock.Time) {
	m := Ask{
		Team: p.team, Domain: d.name, Number: g.nextNumber(), Want: want, Demand: p.currentDemand(now),
	}
	p.reportedDemand = m.Demand
	kept := p.ended[:0]
	for _, e := range p.ended {
		if e.domain != d.name {
			kept = append(kept, e)
			continue
		}
		m.Returned = append(m.Returned, e.returned)
	}
	p.ended = kept
	if h := d.holders[p.slot]; h.node != "" {
		g.send(h.node, m)
	}
}

func (p *purse) dropExpiredReports(now clock.Time) {
	p.ended = slices.DeleteFunc(p.ended, func(e endedSlice) bool { return now >= e.until })
}

// currentDemand returns the demand in tokens a second. At the start of a burst the calls of the current window count
// by the time between them, so that the bank learns of the burst within a few calls.
func (p *purse) currentDemand(now clock.Time) identifier.Tokens {
	if p.idle(now) {
		return 0
	}
	const minSpan = 20 * clock.Millisecond
	span := max(p.lastCallAt.Sub(p.firstCallAt), minSpan)
	burstRate := (p.arrivals - identifier.TokensPerCall) * identifier.Tokens(clock.Second) / identifier.Tokens(span)
	return max(p.demand, burstRate, identifier.TokensPerCall)
}

// idle reports whether an expected call has failed to arrive. The bound is a number of call intervals at the current
// demand, so that a fast team's tokens become free for another node soon after its calls have moved there.
func (p *purse) idle(now clock.Time) bool {
	const missedCalls = 4
	bound := missedCalls * clock.Duration(identifier.TokensPerCall) * clock.Second / clock.Duration(max(p.demand, 1))
	return now >= p.lastCallAt.Add(min(max(bound, minIdleBound), maxIdleBound))
}

// want returns the whole calls' worth of tokens that are missing for the lookahead and for the parked calls.
func (p *purse) want(now clock.Time, lookahead clock.Duration) identifier.Tokens {
	var have identifier.Tokens
	for _, s := range p.slices {
		if now < s.until {
			have += s.left
		}
	}
	lookaheadTokens := p.currentDemand(now) * identifier.Tokens(lookahead) / identifier.Tokens(clock.Second)
	parked := identifier.Tokens(len(p.waiters)) * identifier.TokensPerCall
	if parked == 0 && have >= lookaheadTokens/2 {
		return 0
	}
	// Rounding up would let a node with rare calls take a second call's tokens that another node needs.
	lookaheadTokens -= lookaheadTokens % identifier.TokensPerCall
	return max(lookaheadTokens+parked-have, 0)
}

// receiveGrant accepts the answers to the requests that have not been abandoned, and no grant of an epoch known to be
// superseded.
func (g *Granter) receiveGrant(from identifier.Node, m Grant, now clock.Time) {
	p := g.purses[m.Team]
	if p == nil {
		return
	}
	inTime := p.pending && p.current.number == m.Number
	r, ok := p.takeRequest(from, m.Number)
	if !ok {
		return
	}
	roundTrip := now.Sub(r.askedAt)
	p.roundTrip = (p.roundTrip + roundTrip) / 2
	g.countAnswer(roundTrip, inTime)
	g.abandonBefore(p, r)
	h := &r.domain.holders[p.slot]
	p.unansweredRequests = 0
	// Without a pause a refusal would be followed by the next request at once, in an endless loop if the bank is on
	// this node.
	p.nextAsk = now.Add(minRetryIn)
	switch {
	case m.NotHolder:
		h.avoidUntil = now.Add(avoidTerm / 4)
		p.notHolderAt = now
	case m.Epoch < h.epoch:
		return
	case m.Amount == 0:
		h.avoidUntil = 0
		p.nextAsk = now.Add(m.RetryIn)
		p.emptyAt = now
	default:
		h.avoidUntil = 0
		p.nextAsk = now.Add(min(m.RetryIn, g.options.Lookahead/4))
		g.addSlice(p, r, m, now)
	}
	h.epoch = max(h.epoch, m.Epoch)
	g.tickPurse(p, now)
}

// addSlice counts the term from the sending of the request, so the slice ends here before the bank counts it as spent.
// The tokens of an answer that arrives after that are returned.
func (g *Granter) addSlice(p *purse, r request, m Grant, now clock.Time) {
	until := r.askedAt.Add(g.options.shorten(g.options.SliceTerm))
	if now >= until {
		p.queueReturn(m.Domain, Returned{Number: m.Number, Unspent: m.Amount}, now.Add(g.options.SliceTerm))
		return
	}
	paid := Paid{Holder: r.node, Domain: m.Domain, Epoch: m.Epoch, Slice: m.Number}
	p.slices = append(p.slices, slice{paid: paid, left: m.Amount, until: until})
}
