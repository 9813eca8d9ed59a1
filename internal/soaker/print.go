package soaker

import (
	"fmt"
	"io"
	"slices"
)

// CountBreaches returns the number of breaches of checks other than the given ones.
func (r Report) CountBreaches(except []string) (count int) {
	for _, b := range r.Breaches {
		if !slices.Contains(except, b.Check) {
			count++
		}
	}
	return count
}

// Print writes a summary in one line and, if promises were broken, the faults and the breaches.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests sent, %d served, %d runs, %d faults, %d breaches, timers up to %d ms late in the end\n",
		r.Seed, r.Sent, r.Served, r.Runs, len(r.Faults), len(r.Breaches), r.MaxLateness.Milliseconds())
	if len(r.Breaches) == 0 {
		return
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "  fault %s\n", f)
	}
	for _, b := range r.Breaches {
		fmt.Fprintf(w, "  BROKEN %s: %s\n", b.Check, b.Detail)
	}
}
