package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// A hold that seems older than it is makes an owner allow ids that another node allowed before it. So a hold goes on
// only from one epoch to the next, and a gap in the epochs begins a new one.
func TestHoldSpansOnlyConsecutiveEpochs(t *testing.T) {
	const name claimer.Name = "ids/0"
	s := New(Options{Self: "a", Domain: "alfa"})
	_, held := s.holdOf("ids/0")
	assert.Assert(t, !held, "a claim not gained yet")
	steps := []struct{ epoch, first identifier.Epoch }{{4, 4}, {5, 4}, {5, 4}, {7, 7}, {8, 7}}
	for i, step := range steps {
		s.wall += 1000
		s.extendHold(name, step.epoch)
		g := s.holds[name]
		assert.Equal(t, g.first, step.first, "step %d", i)
		assert.Equal(t, g.last, step.epoch, "step %d", i)
	}
	assert.Equal(t, int64(s.holds[name].wall), int64(4000))
	s.claimLost(name)
	s.extendHold(name, 9)
	assert.Equal(t, s.holds[name].first, identifier.Epoch(9), "after a loss")
}

// A caller takes "key unknown" for final. A node that has just started knows no key yet, so it must not say so before it
// has once read to the end of what there is.
func TestKeyIsNotReportedUnknownBeforeLogIsRead(t *testing.T) {
	s := New(Options{Self: "a", Domain: "alfa", Decode: func([]byte) (any, error) { return nil, nil }})
	refusal := func(id CallID) Refusal {
		effects := s.Reduce(&CallArrived{Call: id, KeyHash: "unread", Service: "ice", Method: "GET", Path: "/"}, 10, nil)
		for _, e := range effects {
			if r, ok := e.(Refuse); ok && r.Call == id {
				return r.Refusal
			}
		}
		return Refusal{}
	}
	assert.Equal(t, refusal(1).Reason, NoPreset)
	s.Reduce(&RecordsRead{Earliest: 1, Next: 1, Asked: 5}, 20, nil)
	assert.Equal(t, refusal(2).Reason, UnknownKey)
}

// A replaced VM reads old records before the new ones. If it put each in force as it came to it, its callers would meet
// a preset that is out of force everywhere else.
func TestNoPresetIsInForceBeforeLogIsRead(t *testing.T) {
	s := New(Options{Self: "a", Domain: "alfa", Decode: func([]byte) (any, error) { return nil, nil }})
	s.rules = newRules(&definer.Preset{Name: "old"}, 1)
	assert.Assert(t, s.refuseIfNotReady(&call{id: 1}))
	s.Reduce(&RecordsRead{Earliest: 1, Next: 1, Asked: 5}, 20, nil)
	assert.Assert(t, !s.refuseIfNotReady(&call{id: 2}))
}
