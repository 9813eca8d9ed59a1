// The bank of a slot keeps one account for each of its teams. The bucket and the outstanding slices together never
// exceed the cap, so in any window the team spends at most the tokens that existed at its start (the burst) plus
// those refilled during it.
//
// Example: with a cap of 100 calls and 60 granted in outstanding slices, the bucket fills up to 40. When these slices
// end with 20 calls unspent, the 20 return to the bucket, and there is room for 40 more.

package granter

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// demandTerm is how long a purse's reported demand counts after its last request.
	demandTerm = 600 * clock.Millisecond
	// unmetTerm is how long a purse counts as short of tokens after a request that got none, and an account after one
	// that was not fully met.
	unmetTerm = 200 * clock.Millisecond
	// clientRetention is how long the number of a purse's last request is kept after that request; a message delayed
	// longer than that refers to slices that have long expired.
	clientRetention = 30 * clock.Second

	// pooledLoanRetention is how long loans for a pooled team are kept after its last call, since its calls are rare.
	pooledLoanRetention = 30 * clock.Second

	minRetryIn = 10 * clock.Millisecond
	maxRetryIn = 250 * clock.Millisecond
)

// outstanding is a granted slice that has neither been returned nor expired.
type outstanding struct {
	number uint64
	amount identifier.Tokens
	until  clock.Time
}

// client is the bank's record of one node's purse.
type client struct {
	node          identifier.Node
	requestNumber uint64
	demand        identifier.Tokens
	askedAt       clock.Time
	// unmetAt is the time of the last request if that got no tokens.
	unmetAt clock.Time
	slices  []outstanding
}

type account struct {
	team identifier.Team
	// rate and cap are this domain's share of the team's rate and burst, before loans.
	rate   identifier.Tokens
	cap    identifier.Tokens
	pooled bool
	// pooledHere is set if all nodes ask this domain's bank first for the pooled team.
	pooledHere bool

	bucket      identifier.Tokens
	fraction    identifier.Tokens
	outstanding identifier.Tokens
	advancedAt  clock.Time
	clients     []*client
	unmetAt     clock.Time
	wantedAt    clock.Time

	borrowers []*borrower
	lenders   []*lender
	recallAt  clock.Time
}

type bank struct {
	slot           int
	claim          claimer.Name
	isOpen         bool
	epoch          identifier.Epoch
	accounts       map[identifier.Team]*account
	sortedAccounts []*account
	shareIncrease  *shareIncrease
}

// account returns the team's account. A new account starts empty: the slices of the previous holder have ended, but
// how much of them was spent recently is unknown.
func (g *Granter) account(b *bank, t identifier.Team, now clock.Time) *account {
	a := b.accounts[t]
	if a == nil {
		a = &account{team: t, advancedAt: now, unmetAt: -clock.Time(unmetTerm), wantedAt: -clock.Time(demandTerm)}
		b.accounts[t] = a
		i, _ := slices.BinarySearchFunc(b.sortedAccounts, t, func(a *account, t identifier.Team) int {
			return strings.Compare(string(a.team), string(t))
		})
		b.sortedAccounts = slices.Insert(b.sortedAccounts, i, a)
		g.setOwnShare(b, a)
	}
	g.advance(a, now)
	return a
}

// applyRates applies the rates, bursts and shares now in force to all accounts; a removed team has none.
func (g *Granter) applyRates(now clock.Time) {
	for _, b := range g.banks {
		g.applyRatesToBank(b, now)
	}
}

// applyRatesToBank also creates missing accounts, so that they fill up before the first call.
func (g *Granter) applyRatesToBank(b *bank, now clock.Time) {
	if !b.isOpen {
		return
	}
	for _, p := range g.sortedPurses {
		if p.slot == b.slot {
			g.account(b, p.team, now)
		}
	}
	for _, a := range b.sortedAccounts {
		g.advance(a, now)
		g.setOwnShare(b, a)
		a.clipBucket()
	}
}

func (g *Granter) setOwnShare(b *bank, a *account) {
	a.rate, a.cap, a.pooled, a.pooledHere = 0, 0, false, false
	if p := g.purses[a.team]; p != nil {
		share := identifier.Tokens(g.share(b))
		a.rate = p.rate * share / 1000
		a.cap = p.burst * share / 1000
		a.pooled = p.pooled
		a.pooledHere = p.pooled && p.order[0].name == g.options.Domain
	}
}

// limit is the upper bound of the bucket and the outstanding slices together.
func (a *account) limit() identifier.Tokens {
	return max(0, a.cap-a.lentCap()) + a.borrowedCap()
}

func (a *account) refillRate() identifier.Tokens {
	return max(0, a.rate-a.lentRate()) + a.borrowedRate()
}

func (a *account) clipBucket() {
	a.bucket = min(a.bucket, max(0, a.limit()-a.outstanding))
}

// advance updates the account to the given time. Everything that shrinks it is assumed to have happened at the start
// of the elapsed span and everything that makes room at its end. Otherwise an account that was not used for a while
// would be refilled for time in which it was full, and a window over that time would contain the burst twice.
func (g *Granter) advance(a *account, now clock.Time) {
	a.dropBorrowed(now, g.options.SliceTerm)
	a.clipBucket()
	g.refill(a, now)
	a.dropLent(now)
	a.expireSlices(now)
}

// refill is slowed down because this clock may run fast. Half of the slack between two clocks bounds the error of one
// clock; it is rounded up to leave some room for times rounded to milliseconds.
func (g *Granter) refill(a *account, now clock.Time) {
	span := identifier.Tokens(now.Sub(a.advancedAt))
	if span <= 0 {
		return
	}
	a.advancedAt = now
	const scale = 1000 * 1000
	slowed := identifier.Tokens(1000 - (g.options.SlackPerMille+1)/2)
	// An hour fills any bucket; a longer span could overflow the product.
	span = min(span, identifier.Tokens(clock.Hour))
	a.fraction += a.refillRate() * slowed * span
	a.bucket += a.fraction / scale
	a.fraction %= scale
	a.clipBucket()
}

func (a *account) expireSlices(now clock.Time) {
	for _, c := range a.clients {
		c.slices = slices.DeleteFunc(c.slices, func(o outstanding) bool {
			expired := now >= o.until
			if expired {
				a.outstanding -= o.amount
			}
			return expired
		})
	}
}

func (a *account) client(n identifier.Node) *client {
	i, ok := slices.BinarySearchFunc(a.clients, n, func(c *client, n identifier.Node) int {
		return strings.Compare(string(c.node), string(n))
	})
	if !ok {
		a.clients = slices.Insert(a.clients, i, &client{node: n, unmetAt: -clock.Time(unmetTerm)})
	}
	return a.clients[i]
}

func (g *Granter) receiveAsk(from identifier.Node, m Ask, now clock.Time) {
	b, ok := g.bankOf(m.Team, now)
	if !ok || m.Domain != g.options.Domain || g.purses[m.Team] == nil {
		if m.Want > 0 {
			g.send(from, Grant{Team: m.Team, Domain: m.Domain, Number: m.Number, NotHolder: true})
		}
		return
	}
	a := g.account(b, m.Team, now)
	c := a.client(from)
	if m.Number <= c.requestNumber {
		return // repeated or out of order: a second grant would not exceed the rate, but its tokens would be wasted
	}
	c.requestNumber = m.Number
	c.demand = m.Demand
	c.askedAt = now
	for _, r := range m.Returned {
		a.returnSlice(c, r)
	}
	if m.Want <= 0 {
		return
	}
	a.wantedAt = now
	g.grant(b, a, c, m, now)
}

// returnSlice ends a slice and takes its unspent tokens back. A repeated or late report doesn't find the slice any
// more and has no effect.
func (a *account) returnSlice(c *client, r Returned) {
	for i, o := range c.slices {
		if o.number != r.Number {
			continue
		}
		back := min(r.Unspent, o.amount)
		if r.Unspent == Unapplied {
			back = o.amount
		}
		c.slices = slices.Delete(c.slices, i, i+1)
		a.outstanding -= o.amount
		a.bucket += max(back, 0)
		return
	}
}

func (g *Granter) grant(b *bank, a *account, c *client, m Ask, now clock.Time) {
	largest := max(identifier.TokensPerCall, a.limit()/4)
	amount := min(m.Want, a.bucket, largest)
	amount -= amount % identifier.TokensPerCall
	r := Grant{Team: m.Team, Domain: m.Domain, Number: m.Number, Epoch: b.epoch, Amount: amount}
	c.unmetAt = now
	if amount > 0 {
		c.unmetAt = -clock.Time(unmetTerm)
		a.bucket -= amount
		a.outstanding += amount
		c.slices = append(c.slices, outstanding{number: m.Number, amount: amount, until: now.Add(g.options.SliceTerm)})
	}
	if amount < m.Want {
		a.unmetAt = now
		g.borrow(b, a, now)
		g.recallLent(a, now)
	}
	if amount < m.Want {
		r.RetryIn = a.retryIn(now)
	}
	g.send(c.node, r)
}

// retryIn spreads the retries of the purses that found the bucket empty over the time that the refill takes.
func (a *account) retryIn(now clock.Time) clock.Duration {
	rate := a.refillRate()
	if rate <= 0 || a.lentCap() > 0 || a.awaitsLoan(now) {
		return minRetryIn
	}
	asking := identifier.Tokens(0)
	for _, c := range a.clients {
		if now < c.unmetAt.Add(unmetTerm) {
			asking++
		}
	}
	missing := max(identifier.TokensPerCall*asking-a.bucket, 0)
	d := clock.Duration(missing * 1000 / rate)
	return min(max(d, minRetryIn), maxRetryIn)
}

// demand is the sum of the demand that the purses reported recently, in tokens a second.
func (a *account) demand(now clock.Time) identifier.Tokens {
	var sum identifier.Tokens
	for _, c := range a.clients {
		if now < c.askedAt.Add(demandTerm) {
			sum += c.demand
		}
	}
	return sum
}

// idle reports whether the purses need no tokens; they report a demand of zero themselves when their calls stop.
func (a *account) idle(now clock.Time) bool {
	if a.pooledHere {
		return now >= a.wantedAt.Add(pooledLoanRetention)
	}
	return now >= a.wantedAt.Add(demandTerm) || a.demand(now) == 0 && now >= a.unmetAt.Add(minRetryIn)
}

func (a *account) unmet(now clock.Time) bool {
	return now < a.unmetAt.Add(unmetTerm)
}

func (g *Granter) tickBank(b *bank, now clock.Time) {
	for _, a := range b.sortedAccounts {
		unused := len(a.borrowers)+len(a.lenders)+len(a.clients) == 0
		if unused {
			continue
		}
		g.advance(a, now)
		g.tickBorrower(b, a, now)
		a.clients = slices.DeleteFunc(a.clients, func(c *client) bool {
			return len(c.slices) == 0 && now >= c.askedAt.Add(clientRetention)
		})
	}
}
