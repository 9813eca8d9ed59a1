package quarantiner

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func end(number int64, fingerprints ...identifier.Fingerprint) End {
	return End{ID: EndID{Node: "a", Number: number}, Fingerprints: fingerprints}
}

func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		apply func(q *Quarantiner)
		at    clock.Time
		want  Verdict
	}{
		"unknown": {apply: func(*Quarantiner) {}},
		"one end": {apply: func(q *Quarantiner) { q.Ended(end(1, 7), 0) }, want: Verdict{Ends: 1}},
		"the same end twice": {apply: func(q *Quarantiner) {
			q.Ended(end(1, 7), 0)
			q.Ended(end(1, 7), 0)
		}, want: Verdict{Ends: 1}},
		"two ends": {apply: func(q *Quarantiner) {
			q.Ended(end(1, 7), 0)
			q.Ended(end(2, 7), 1000)
		}, at: 2000, want: Verdict{Ends: 2, Alone: true}},
		"three ends": {apply: func(q *Quarantiner) {
			q.Ended(end(1, 7), 0)
			q.Ended(end(2, 7), 1000)
			q.Ended(end(3, 7), 2000)
		}, at: 2500, want: Verdict{Ends: 3, Alone: true, Quarantined: true, Left: 29_500}},
		"three ends, later": {apply: func(q *Quarantiner) {
			q.Ended(end(1, 7), 0)
			q.Ended(end(2, 7), 1000)
			q.Ended(end(3, 7), 2000)
		}, at: 32_000, want: Verdict{Ends: 3, Alone: true}},
		"four ends": {apply: func(q *Quarantiner) {
			for i := range int64(3) {
				q.Ended(end(i, 7), clock.Time(i))
			}
			q.Ended(end(4, 7), 32_000)
		}, at: 32_000, want: Verdict{Ends: 4, Alone: true, Quarantined: true, Left: 120_000}},
		"answered after an end": {apply: func(q *Quarantiner) {
			q.Ended(end(1, 7), 0)
			q.Survived([]identifier.Fingerprint{7}, 500)
			q.Ended(end(2, 7), 1000)
			q.Ended(end(3, 7), 1000)
		}, at: 1000},
		"answered long before": {apply: func(q *Quarantiner) {
			q.Survived([]identifier.Fingerprint{7}, 0)
			q.Ended(end(1, 7), 11_000)
			q.Ended(end(2, 7), 11_000)
		}, at: 11_000, want: Verdict{Ends: 2, Alone: true}},
		"forgotten": {apply: func(q *Quarantiner) {
			q.Ended(end(1, 7), 0)
			q.Ended(end(2, 7), 0)
			q.Ended(end(3, 7), 0)
		}, at: 90_001},
		"ends far apart": {apply: func(q *Quarantiner) {
			q.Ended(end(1, 7), 0)
			q.Ended(end(2, 7), 60_001)
		}, at: 60_001, want: Verdict{Ends: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := New()
			test.apply(q)
			assert.Equal(t, q.Judge([]identifier.Fingerprint{3, 7}, test.at), test.want)
		})
	}
}

// Guards against memory that grows with the requests that callers send.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBounded[int, int](8)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			key := rapid.IntRange(0, 20).Draw(t, "key")
			if rapid.Bool().Draw(t, "drops") {
				b.drop(key)
				continue
			}
			b.put(key, key)
			got, ok := b.get(key)
			assert.Assert(t, ok && got == key)
			assert.Assert(t, b.len() <= 8)
		}
	})
}
