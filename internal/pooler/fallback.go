package pooler

// A node that can't reach a team's bucket may let its own part of the rate through: the node with the bucket leaves out the
// shares of those that it does not hear. It notices a silence late, so the part is given out late as well, but for one
// request of a team that was within its rate: most losses of a node last a second, and that one request is all that
// comes of a small team meanwhile. A node that has just started lets not even that one through: when all are killed at
// once, each would find the others not yet there, and 88 of them come to more than a small team's window.
//
// Example: 13 requests a second, 88 nodes: one request at once, and one each 7 s from 1.5 s after the loss.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// TakeFallback takes a token from this node's own part of a team's rate.
func (p *Pooler) TakeFallback(name identifier.Team, nodes int, now clock.Time) Grant {
	b, ok := p.teams[name]
	if !ok || b.rate <= 0 {
		return Grant{Allowed: ok}
	}
	a := &b.fallback
	if !a.active || now.Sub(a.failed) > fallbackRetention {
		*a = fallback{active: true, filled: now.Add(fallbackDelay)}
		calm := b.emptyUntil == 0 || now.Sub(b.emptyUntil) > calmAfterEmpty
		if calm && now.Sub(p.started) > fallbackRetention {
			a.tokens = 1
		}
	}
	a.failed = now
	perMilli := b.rate / float64(max(1, nodes)) / float64(clock.Second)
	if span := now.Sub(a.filled); span > 0 {
		a.filled = now
		maximum := max(1, b.burst/float64(max(1, nodes)))
		a.tokens = min(maximum, a.tokens+perMilli*float64(span))
	}
	if a.tokens >= 1 {
		a.tokens--
		return Grant{Allowed: true}
	}
	wait := clock.Duration((1 - a.tokens) / perMilli)
	return Grant{Wait: max(0, a.filled.Sub(now)) + wait}
}
