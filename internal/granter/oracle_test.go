// The oracle is one token bucket for each team in true time, with the whole rate and burst: if the calls ever find it
// empty, some window had more than burst plus rate times its length.
//
// Example: rate 50 a second and burst 50: 51 calls within a millisecond after a long rest are a fault.

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

// publish sets what is allowed from now on; while two presets are in force that is the larger of both.
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

// allowLarger sets the larger of two presets for each team.
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
		return fmt.Sprintf("%d: team %s spent more than its rate and burst", now, t)
	}
	return ""
}

func (b *budget) refill(now int64) {
	b.level = min(b.burst*1000, b.level+b.rate*identifier.Tokens(now-b.at))
	b.at = now
}
