package pooler

// A node that cannot reach a team's bucket may admit its own share of the rate, since the node with the bucket leaves
// out the shares of the nodes whose reports it does not receive. That node detects the silence late, so the share is
// granted after a delay, except for one request of a team that was within its rate: most failures of a node last a
// second, and that one request is all that a small team sends meanwhile. A node that has just started does not admit
// even that one: after a kill of all nodes, each would find the others missing, and 88 requests exceed what a small
// team may send in one window of its rate's tolerance.
//
// Example: 13 requests a second, 88 nodes: one request at once, and one each 7 s from 1.5 s after the failure.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// TakeFallback takes a token from this node's own share of a team's rate while the node cannot reach the team's bucket.
func (p *Pooler) TakeFallback(name identifier.Team, nodes int, now clock.Time) Grant {
	b, ok := p.teams[name]
	if !ok || b.rate <= 0 {
		return Grant{Allowed: ok}
	}
	f := &b.fallback
	if !f.active || now.Sub(f.failed) > fallbackRetention {
		*f = fallback{active: true, filled: now.Add(fallbackDelay)}
		withinRate := b.emptyUntil == 0 || now.Sub(b.emptyUntil) > overRateAfterEmpty
		if withinRate && now.Sub(p.started) > fallbackRetention {
			f.tokens = 1
		}
	}
	f.failed = now
	perMillisecond := b.rate / float64(max(1, nodes)) / float64(clock.Second)
	if span := now.Sub(f.filled); span > 0 {
		f.filled = now
		maximum := max(1, b.burst/float64(max(1, nodes)))
		f.tokens = min(maximum, f.tokens+perMillisecond*float64(span))
	}
	if f.tokens >= 1 {
		f.tokens--
		return Grant{Allowed: true}
	}
	wait := clock.Duration((1 - f.tokens) / perMillisecond)
	return Grant{Wait: max(0, f.filled.Sub(now)) + wait}
}
