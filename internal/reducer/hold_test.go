package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// If a hold appeared older than it is, an owner would permit ids that another node has permitted before. So a hold may
// only span consecutive epochs, and a gap between epochs must begin a new hold.
func TestHoldSpansOnlyConsecutiveEpochs(t *testing.T) {
	const name claimer.Name = "ids/0"
	s := New(Options{Self: "a", Domain: "alfa"})
	_, held := s.holdOf("ids/0")
	assert.Assert(t, !held, "hold on a claim that was never gained")
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
	assert.Equal(t, s.holds[name].first, identifier.Epoch(9), "the hold must begin anew after the claim was lost")
}

// Callers treat the reason unknownKey as final. A node that has just started has read no keys yet, so it must not give
// that reason before it has read the log to the end.
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

// A node on a replaced VM reads old records before new ones. If it put each preset in force as it reads it, calls would
// be handled by a preset that is no longer in force at other nodes.
func TestNoPresetIsInForceBeforeLogIsRead(t *testing.T) {
	s := New(Options{Self: "a", Domain: "alfa", Decode: func([]byte) (any, error) { return nil, nil }})
	s.rules = newRules(&definer.Preset{Name: "old"}, 1)
	assert.Assert(t, s.refuseIfNotReady(&call{id: 1}))
	s.Reduce(&RecordsRead{Earliest: 1, Next: 1, Asked: 5}, 20, nil)
	assert.Assert(t, !s.refuseIfNotReady(&call{id: 2}))
}

// Guards against final refusals by an old configuration: a newer one that has the key or the service may have been in force at
// other nodes for long.
func TestRefusalsAreFinalOnlyWithRecentNews(t *testing.T) {
	const read = 20
	tests := map[string]struct {
		after   clock.Duration
		service identifier.Service
		known   bool
		want    Reason
	}{
		"unknown key":               {after: maxFinalAge, service: "ice", want: UnknownKey},
		"unknown key, old news":     {after: maxFinalAge + 1, service: "ice", want: NoPreset},
		"unknown service":           {after: maxFinalAge, service: "new", known: true, want: UnknownService},
		"unknown service, old news": {after: maxFinalAge + 1, service: "new", known: true, want: NoPreset},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Options{Self: "a", Domain: "alfa", Decode: func([]byte) (any, error) { return nil, nil }})
			s.rules = newRules(&definer.Preset{Name: "ordinary"}, 1)
			s.Reduce(&RecordsRead{Earliest: 1, Next: 1, Asked: read}, read, nil)
			s.now = clock.Time(read).Add(test.after)
			c := &call{id: 1, service: test.service}
			s.calls[c.id] = c
			if test.known {
				assert.Assert(t, !s.applyRules(c, clock.Second, 0))
			} else {
				s.refuseUnknown(c, Refusal{Reason: UnknownKey})
			}
			assert.Equal(t, s.out[len(s.out)-1].(Refuse).Refusal.Reason, test.want)
		})
	}
}
