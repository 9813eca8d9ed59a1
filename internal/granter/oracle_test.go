// The oracle keeps one token bucket for each team in true time, with the whole rate and burst. If a call finds it
// empty, some window had more calls than the burst plus the rate times its length.
//
// Example: with a rate of 50 a second and a burst of 50, 51 calls within a millisecond after a long idle time are a
// fault.

package granter_test

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

type budget struct {
	rate, burst identifier.Tokens
	// level is in thousandths of a token.
	level   identifier.Tokens
	at      int64
	served  int
	offered int
}

type oracle map[identifier.Team]*budget

// publish sets the rates and bursts allowed from now on.
func (o oracle) publish(teams []definer.Team, now int64) {
	for _, t := range teams {
		b := o[t.Name]
		if b == nil {
			b = &budget{level: t.Burst * 1000}
			o[t.Name] = b
		}
		b.refill(now)
		b.rate = t.Rate
		b.burst = t.Burst
	}
}

// allowLarger allows the larger rate and burst of two presets for each team, while nodes may use either.
func (o oracle) allowLarger(old, fresh []definer.Team, now int64) {
	for i, t := range fresh {
		b := o[t.Name]
		b.refill(now)
		b.rate = max(b.rate, old[i].Rate, t.Rate)
		b.burst = max(b.burst, old[i].Burst, t.Burst)
	}
}

func (o oracle) resetCounts() {
	for _, b := range o {
		b.served, b.offered = 0, 0
	}
}

func (o oracle) spend(t identifier.Team, now int64) string {
	b := o[t]
	b.refill(now)
	b.level -= identifier.TokensPerCall * 1000
	b.served++
	if b.level < 0 {
		b.level = 0
		return fmt.Sprintf("at %d ms: team %s spent more than its rate and burst", now, t)
	}
	return ""
}

func (b *budget) refill(now int64) {
	b.level = min(b.burst*1000, b.level+b.rate*identifier.Tokens(now-b.at))
	b.at = now
}
