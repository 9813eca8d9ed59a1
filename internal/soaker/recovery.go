package soaker

// Once all faults are over, the fleet serves again. The endpoints and callers of a soak share its process: if that gets too little
// processor time, endpoints look slow and nodes refuse requests, rightly. How late a timer of the process fires tells this
// from nodes that have not recovered.
//
// Example: requests are refused for pressure while timers fire hundreds of milliseconds late: the machine was too busy.

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// recoveryGrace is how long after the last fault requests may still fail.
const recoveryGrace = 5 * time.Second

// notRecovered counts only requests with a valid key of a team without a rate, as others may be refused although the fleet
// has recovered. Finding no such request is a breach too.
func (r *Record) notRecovered(t Terms) []Breach {
	total, served := 0, 0
	unserved := map[string]int{}
	for _, s := range r.sent {
		if s.Team == probingTeam || s.isFatal() || r.faultsEnded.IsZero() || s.At.Before(r.faultsEnded.Add(recoveryGrace)) || r.rates[s.Team].perSecond > 0 || r.issued[s.Key] == "" {
			continue
		}
		if _, isWithdrawn := r.withdrawn[s.Key]; isWithdrawn {
			continue
		}
		total++
		if s.Answer.Status/100 == 2 {
			served++
		} else {
			unserved[fmt.Sprintf("%s %s %d %s", s.Node, s.Path, s.Answer.Status, s.Answer.Reason)]++
		}
	}
	if total > 0 && float64(served) >= t.MinRecoveredRatio*float64(total) {
		return nil
	}
	return []Breach{{"notRecovered", fmt.Sprintf("%d of %d requests served after all faults were over; most of the others: %s",
		served, total, mostFrequent(unserved))}}
}

// maxGroupsPerBreach bounds the groups of requests that a breach names.
const maxGroupsPerBreach = 8

// mostFrequent returns the largest groups with their counts.
func mostFrequent(counts map[string]int) string {
	groups := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var text []string
	for _, group := range groups[:min(len(groups), maxGroupsPerBreach)] {
		text = append(text, fmt.Sprintf("%d of %s", counts[group], group))
	}
	return strings.Join(text, ", ")
}

// latenessPeriod is the time between two looks at the clock.
const latenessPeriod = 10 * time.Millisecond

// measureLateness records how late the process's timers fire, until the context ends.
func (r *Record) measureLateness(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		wait(ctx, latenessPeriod)
		now := time.Now()
		r.addLateness(now, now.Sub(last)-latenessPeriod)
		last = now
	}
}

// addLateness keeps the greatest lateness of the time in which the fleet has to have recovered.
func (r *Record) addLateness(at time.Time, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.faultsEnded.IsZero() && at.After(r.faultsEnded.Add(recoveryGrace)) {
		r.maxLateness = max(r.maxLateness, late)
	}
}

// MaxLateness returns how late timers fired at most once the fleet had to have recovered.
func (r *Record) MaxLateness() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxLateness
}
