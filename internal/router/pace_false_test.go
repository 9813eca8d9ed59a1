package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/gauger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// With 68 nodes, a node hears an endpoint some three times a second, so most picks use a pace that has faded. A false pace
// that faded towards 100 would no longer cancel the one by which the reported run times are divided, and an endpoint that
// reports a pace too low would stay without calls.
func TestFalsePaceDoesNotStarveEndpointInLargeFleet(t *testing.T) {
	const odd = identifier.Endpoint("6")
	stuckAt := func(p gauger.Pace) func(pace, now float64) gauger.Pace {
		return func(pace, now float64) gauger.Pace {
			if now > 3000 {
				return p
			}
			return gauger.Pace(100 * pace)
		}
	}
	load := unevenLoad{nodes: 68, run: 100, objective: 300, milliseconds: 12_000, use: unevenUse, tellsPace: true}
	truthful := load.prepare(5).simulate(nil)
	for name, tell := range map[string]func(pace, now float64) gauger.Pace{
		"always 1":         func(float64, float64) gauger.Pace { return 1 },
		"times 0.3":        func(pace, _ float64) gauger.Pace { return gauger.Pace(30 * pace) },
		"times 0.5":        func(pace, _ float64) gauger.Pace { return gauger.Pace(50 * pace) },
		"times 0.6":        func(pace, _ float64) gauger.Pace { return gauger.Pace(60 * pace) },
		"times 0.75":       func(pace, _ float64) gauger.Pace { return gauger.Pace(75 * pace) },
		"times 1.5":        func(pace, _ float64) gauger.Pace { return gauger.Pace(150 * pace) },
		"times 4":          func(pace, _ float64) gauger.Pace { return gauger.Pace(400 * pace) },
		"always 999,999":   func(float64, float64) gauger.Pace { return 999_999 },
		"always 250":       func(float64, float64) gauger.Pace { return 250 },
		"stuck at 60":      stuckAt(60),
		"stuck at 250":     stuckAt(250),
		"stuck at 1":       stuckAt(1),
		"stuck at 999,999": stuckAt(999_999),
	} {
		t.Run(name, func(t *testing.T) {
			lying := load.prepare(5)
			lying.byID[odd].tell = tell
			lying.simulate(nil)
			share := float64(lying.byID[odd].ran) / float64(truthful.byID[odd].ran)
			t.Logf("%.2f of the calls with true reports; %v, with true reports %v", share, lying, truthful)
			assert.Assert(t, share >= 0.75, "%.2f", share)
		})
	}
}
