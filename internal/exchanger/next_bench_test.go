package exchanger

import (
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// BenchmarkNext measures the choice of the node to ask among 195, with the cached member names.
func BenchmarkNext(b *testing.B) {
	f := newFleetOf(195, 6)
	f.runRounds(0, 2000, allReachable)
	table := f.tables["n150"]
	for b.Loop() {
		table.Next(f.members, clock.Time(2000))
	}
}
