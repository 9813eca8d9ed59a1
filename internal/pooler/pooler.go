package pooler

// One node holds a team's bucket, and all nodes determine it without communication: the first in an order that depends
// only on the team and the nodes' names. While nodes disagree about the members, two buckets are asked; so a bucket
// that has not been asked recently starts nearly empty.
//
// Example: Take("parish", 1, now) takes a token here; a node that cannot reach this one admits its own share by
// TakeFallback.

import (
	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// New returns a pooler without teams.
func New(t apportioner.Tolerance, now clock.Time) *Pooler {
	return &Pooler{
		tolerance: t,
		started:   now,
		teams:     map[identifier.Team]*pool{},
		failed:    map[identifier.Node]clock.Time{},
	}
}

// SetTeam sets a team's rate and burst.
func (p *Pooler) SetTeam(name identifier.Team, rate, burst float64) {
	b, ok := p.teams[name]
	if !ok {
		b = &pool{}
		p.teams[name] = b
	}
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, p.capacity(b))
}

// Pools returns whether a team's rate is pooled among the given number of nodes.
func (p *Pooler) Pools(name identifier.Team, nodes int) bool {
	b, ok := p.teams[name]
	return ok && b.rate > 0 && nodes > 1 && b.rate <= maxPooledRatePerNode*float64(nodes)
}

// Weight orders the nodes that may hold a team's bucket; the node with the highest weight holds it.
func Weight(team identifier.Team, node identifier.Node) uint64 {
	var h xxh3.Hasher
	_, _ = h.WriteString(string(team))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(node))
	return h.Sum64()
}

// Take takes a token from the bucket at this node. Reach is the fraction of the fleet whose reports this node receives:
// the rest keeps its share of the rate, since it may be serving on the other side of a partition.
func (p *Pooler) Take(name identifier.Team, reach float64, now clock.Time) Grant {
	b, ok := p.teams[name]
	if !ok || b.rate <= 0 {
		return Grant{Allowed: ok}
	}
	p.fill(b, reach, now)
	if b.tokens >= 1 {
		b.tokens--
		return Grant{Allowed: true}
	}
	perMillisecond := max(b.rate*reach, minRate) / float64(clock.Second)
	return Grant{Wait: clock.Duration((1 - b.tokens) / perMillisecond)}
}

// initialTokens is the number of tokens in a bucket that was just taken over from another node. With as much as the
// tolerated excess, three node failures within one window would admit 127 requests where 119 are allowed.
const initialTokens = 2

// minRate, in requests a second, keeps a wait finite.
const minRate = 0.1

// ReturnTokens returns tokens that were granted and not used.
func (p *Pooler) ReturnTokens(name identifier.Team, tokens int) {
	if b, ok := p.teams[name]; ok && tokens > 0 {
		b.tokens = min(p.capacity(b), b.tokens+float64(tokens))
	}
}

func (p *Pooler) fill(b *pool, reach float64, now clock.Time) {
	fresh := b.takenBefore && now.Sub(b.lastTake) <= idleAfter
	if !b.takenBefore {
		b.filled, b.tokens = now, initialTokens
	}
	b.takenBefore, b.lastTake = true, now
	span := now.Sub(b.filled)
	b.filled = now
	b.tokens = min(p.capacity(b), b.tokens+b.rate*reach*float64(span)/float64(clock.Second))
	if !fresh {
		b.tokens = min(b.tokens, initialTokens)
	}
}

func (p *Pooler) capacity(b *pool) float64 {
	return max(1, b.burst+p.excess(b))
}

func (p *Pooler) excess(b *pool) float64 {
	return bucketToleranceFraction * p.tolerance.Excess(b.rate, b.burst)
}

// MarkEmpty records that a bucket at another node answered that it is empty.
func (p *Pooler) MarkEmpty(name identifier.Team, wait clock.Duration, now clock.Time) {
	if b, ok := p.teams[name]; ok {
		b.emptyUntil = now.Add(min(wait, maxEmptyWait))
	}
}

// EmptyFor returns for how long a team's bucket is known to be empty; 0 if it is not.
func (p *Pooler) EmptyFor(name identifier.Team, now clock.Time) clock.Duration {
	b, ok := p.teams[name]
	if !ok {
		return 0
	}
	return max(0, b.emptyUntil.Sub(now))
}

// Unused counts a token that was taken from a bucket at another node and not needed.
func (p *Pooler) Unused(name identifier.Team) {
	if b, ok := p.teams[name]; ok {
		b.unused++
	}
}

// TakeUnused returns how many tokens to return, and resets the count.
func (p *Pooler) TakeUnused(name identifier.Team) int {
	b, ok := p.teams[name]
	if !ok {
		return 0
	}
	unused := b.unused
	b.unused = 0
	return unused
}

// Failed records that a node did not answer.
func (p *Pooler) Failed(node identifier.Node, now clock.Time) {
	p.failed[node] = now
}

// Answered records that a node answered.
func (p *Pooler) Answered(node identifier.Node) {
	delete(p.failed, node)
}

// Avoids returns whether a node should not be asked because it did not answer a moment ago.
func (p *Pooler) Avoids(node identifier.Node, now clock.Time) bool {
	at, ok := p.failed[node]
	return ok && now.Sub(at) < avoidDuration
}
