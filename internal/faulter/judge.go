// The verdict comes from what the callers and the backend servers wrote down, never from what the nodes say of
// themselves. The backend servers' starts are joined to the callers' attempts by the request's id.
//
// Example: a refusal with notRun=true for request R is false if any backend server has a start of R.

package faulter

import (
	"slices"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

// account is all that was written down in a run.
type account struct {
	teams    []teamPlan
	start    time.Time
	length   time.Duration
	sendings []sending
	starts   []responder.RunStart
}

// rateExceeded is the largest excess, in calls, of any team in any window: one token bucket in true time over the
// starts at all backend servers. A request that was retried after a lost answer counts once.
func (a account) rateExceeded() float64 {
	var largest float64
	for _, t := range a.teams {
		largest = max(largest, excess(t, a.startsOf(t.name)))
	}
	return largest
}

func (a account) startsOf(team identifier.Team) []time.Time {
	seen := make(map[string]bool)
	var list []time.Time
	for _, s := range a.starts {
		if s.Team != string(team) || seen[s.Request] {
			continue
		}
		seen[s.Request] = true
		list = append(list, s.At)
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// excess fills a bucket at the team's rate and takes a call out at each start; what is missing at worst is the excess.
func excess(t teamPlan, starts []time.Time) float64 {
	var worst float64
	level := t.burst
	for i, at := range starts {
		if i > 0 {
			level = min(t.burst, level+t.rate*at.Sub(starts[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

// doubleRuns counts the runs beyond the first of each idempotency id, over all backend servers.
func (a account) doubleRuns() int {
	runs := make(map[string]int)
	double := 0
	for _, s := range a.starts {
		if s.Idempotency == "" {
			continue
		}
		runs[s.Idempotency]++
		if runs[s.Idempotency] > 1 {
			double++
		}
	}
	return double
}

// falseNotRun counts the refusals that say "not run" of a request that a backend server has a start of.
func (a account) falseNotRun() int {
	started := make(map[string]bool)
	for _, s := range a.starts {
		started[s.Request] = true
	}
	n := 0
	for _, s := range a.sendings {
		for _, t := range s.attempts {
			if t.notRun && started[t.request] {
				n++
			}
		}
	}
	return n
}

// rateServed is what reached the backend servers of the teams that sent more than their rate, as a part of their rate.
// The first seconds don't count: in them the burst is used up.
func (a account) rateServed() (float64, bool) {
	var served, entitled float64
	for _, t := range a.teams {
		if t.load < 1 {
			continue
		}
		from := a.start.Add(settling)
		to := a.start.Add(a.length)
		for _, at := range a.startsOf(t.name) {
			if at.After(from) && at.Before(to) {
				served++
			}
		}
		entitled += t.rate * to.Sub(from).Seconds()
	}
	return served / entitled, entitled > 0
}

// bookingsServed is the part of the bookings of teams within their rate that were answered in the end.
func (a account) bookingsServed() (float64, bool) {
	var all, served float64
	for _, s := range a.sendings {
		if s.id == "" || !a.isWithin(s.team) {
			continue
		}
		all++
		if s.succeeded() {
			served++
		}
	}
	return served / all, all > 0
}

// wrongful is the part of the attempts of teams within their rate that were refused or got no answer. The second of
// two attempts made at once is the caller's own fault and doesn't count, nor does a retry.
func (a account) wrongful() (ratio float64, reasons map[string]int, ok bool) {
	var all, refused float64
	reasons = make(map[string]int)
	for _, s := range a.sendings {
		if !a.isWithin(s.team) || len(s.attempts) == 0 {
			continue
		}
		all++
		first := s.attempts[0]
		if first.succeeded() || first.reason == "idempotencyInProgress" {
			continue
		}
		refused++
		reasons[reasonOf(first)]++
	}
	return refused / all, reasons, all > 0
}

func reasonOf(a attempt) string {
	switch {
	case a.reason != "":
		return a.reason
	case a.status == 0:
		return "noAnswer"
	default:
		return "error"
	}
}

func (a account) isWithin(team identifier.Team) bool {
	i := slices.IndexFunc(a.teams, func(t teamPlan) bool { return t.name == team })
	return i >= 0 && a.teams[i].load < 1
}
