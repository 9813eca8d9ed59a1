package deduplicator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// An owner that names a new witness continues in the next epoch. If it dropped its records then, a booking retried
// during an ordinary rolling restart would run twice; if it kept them over an epoch of another node, an id that the
// other node allowed would run again.
func TestHoldContinuesOverEpochs(t *testing.T) {
	const text = "0193865f-1c00-7000-8000-00000000000a"
	id, err := deduplicator.ParseID(text)
	assert.NilError(t, err)
	asked := id.Time
	cases := map[string]struct {
		next deduplicator.Hold
		want deduplicator.Verdict
	}{
		"next epoch of the same hold":      {deduplicator.Hold{Epoch: 5, SinceEpoch: 4}, deduplicator.InProgress},
		"two epochs on":                    {deduplicator.Hold{Epoch: 6, SinceEpoch: 4}, deduplicator.InProgress},
		"epoch of another node in between": {deduplicator.Hold{Epoch: 6, SinceEpoch: 6}, deduplicator.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := deduplicator.NewOwner(deduplicator.OwnerOptions{})
			begin := func(h deduplicator.Hold, node identifier.Node, now clock.Time) deduplicator.Verdict {
				h.Claim = "ids/0"
				a := deduplicator.Attempt{Node: node, Number: 1}
				return o.Begin(h, "captains", id, 1, a, asked, now, asked.Add(clock.Duration(now))).Verdict
			}
			first := deduplicator.Hold{Epoch: 4, SinceEpoch: 4, Gained: asked.Add(-clock.Minute)}
			assert.Equal(t, begin(first, "a", 0), deduplicator.Run)
			c.next.Gained = first.Gained
			if c.next.SinceEpoch != first.SinceEpoch {
				c.next.Gained = asked.Add(clock.Second)
			}
			assert.Equal(t, begin(c.next, "b", 1000), c.want)
		})
	}
}
