// The figures are computed from the records of callers and backend servers, never from what nodes report about
// themselves. A start at a backend server is joined to a caller's attempt by the attempt's id, a refusal to a start by
// the request id.
//
// Example: a refusal with notRun=true for request R is false if any backend server recorded a start of R.

package faulter

import (
	"slices"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

// audit holds everything recorded in a run.
type audit struct {
	teams      []teamPlan
	start      time.Time
	length     time.Duration
	operations []operation
	starts     []responder.RunStart
}

// rateExceeded is the largest excess, in calls, of any team in any window. A call is charged at some moment between its
// sending and its start at a backend server, and that moment is not visible outside the nodes. The excess is therefore
// computed for the charge times most favorable to the fleet: it is 0 if one token bucket for all VMs could have paid
// for all starts.
func (a audit) rateExceeded() float64 {
	var largest float64
	for _, t := range a.teams {
		largest = max(largest, excess(t, a.chargesOf(t.name)))
	}
	return largest
}

// chargeWindow is the interval in which one call was charged to the bucket.
type chargeWindow struct{ earliest, latest time.Time }

// chargesOf joins the backend servers' starts with the callers' attempts by the id of the attempt, since a caller
// without an answer doesn't know the request id. Such a call may start long after its caller has given it up, when
// processors are busy. A request that was retried after a lost answer is charged once. A start that belongs to no
// attempt is charged at its own time.
func (a audit) chargesOf(team identifier.Team) []chargeWindow {
	sent := make(map[string]time.Time)
	for _, o := range a.operations {
		for _, t := range o.attempts {
			sent[t.id] = t.sent
		}
	}
	seen := make(map[string]bool)
	var list []chargeWindow
	for _, s := range a.starts {
		if s.Team != string(team) || seen[s.Request] {
			continue
		}
		seen[s.Request] = true
		earliest, known := sent[s.Attempt]
		if !known || s.Attempt == "" {
			earliest = s.At
		}
		list = append(list, chargeWindow{earliest: earliest, latest: s.At})
	}
	slices.SortFunc(list, func(x, y chargeWindow) int { return x.earliest.Compare(y.earliest) })
	return list
}

func (a audit) startsOf(team identifier.Team) []time.Time {
	var list []time.Time
	for _, w := range a.chargesOf(team) {
		list = append(list, w.latest)
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// bucket is a single token bucket for all VMs of a team.
type bucket struct {
	team  teamPlan
	at    time.Time
	level float64
}

func (b *bucket) advanceTo(at time.Time) {
	if at.After(b.at) {
		b.level = min(b.team.burst, b.level+b.team.rate*at.Sub(b.at).Seconds())
		b.at = at
	}
}

// fullAt is when the bucket is full if nothing is charged until then.
func (b *bucket) fullAt() time.Time {
	// A microsecond more makes up for rounding, which may otherwise leave the last token incomplete.
	return b.at.Add(time.Duration((b.team.burst - b.level) / b.team.rate * float64(time.Second))).Add(time.Microsecond)
}

// excess charges a waiting call when it starts, or earlier when the bucket is full and would lose tokens; among waiting
// calls the one that started first is charged first. Charging as soon as there is a token would pay for calls that
// started seconds later with the tokens of calls that were sent and started meanwhile, and report an excess although one
// bucket could have paid for all. A call that has started is charged even if the bucket is empty, and the largest
// resulting deficit is the excess. It is at least the excess in any window over the calls sent and started in it, and
// less than one call above that.
func excess(t teamPlan, calls []chargeWindow) float64 {
	if len(calls) == 0 {
		return 0
	}
	b := &bucket{team: t, at: calls[0].earliest, level: t.burst}
	var waiting []chargeWindow
	var worst float64
	for len(calls) > 0 || len(waiting) > 0 {
		b.advanceTo(nextEventTime(b, calls, waiting))
		for len(calls) > 0 && !calls[0].earliest.After(b.at) {
			waiting = insert(waiting, calls[0])
			calls = calls[1:]
		}
		for len(waiting) > 0 && (b.level >= t.burst || !waiting[0].latest.After(b.at)) {
			waiting = waiting[1:]
			b.level--
			worst = max(worst, -b.level)
		}
	}
	return worst
}

// nextEventTime is the earliest of: the next call is sent, a waiting call starts, or the bucket is full.
func nextEventTime(b *bucket, calls, waiting []chargeWindow) time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if len(calls) > 0 {
		consider(calls[0].earliest)
	}
	if len(waiting) > 0 {
		consider(waiting[0].latest)
		consider(b.fullAt())
	}
	return next
}

func insert(waiting []chargeWindow, w chargeWindow) []chargeWindow {
	i, _ := slices.BinarySearchFunc(waiting, w, func(x, y chargeWindow) int { return x.latest.Compare(y.latest) })
	return slices.Insert(waiting, i, w)
}

// doubleRuns counts the starts beyond the first of each idempotency id, over all backend servers.
func (a audit) doubleRuns() int {
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

// falseNotRun counts the refusals that say "not run" about a request that a backend server started.
func (a audit) falseNotRun() int {
	started := make(map[string]bool)
	for _, s := range a.starts {
		started[s.Request] = true
	}
	n := 0
	for _, o := range a.operations {
		for _, t := range o.attempts {
			if t.notRun && started[t.request] {
				n++
			}
		}
	}
	return n
}

// rateServed is the ratio of calls started to the rate, for teams that send more than their rate. It skips the first
// seconds, in which the burst is used up.
func (a audit) rateServed() (float64, bool) {
	var served, entitled float64
	for _, t := range a.teams {
		if t.loadRatio < 1 {
			continue
		}
		from := a.start.Add(burstUseTime)
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

// bookingsServed is the ratio of bookings (operations with an idempotency id) of teams within their rate that succeeded on
// any attempt.
func (a audit) bookingsServed() (float64, bool) {
	var all, served float64
	for _, o := range a.operations {
		if o.id == "" || !a.isWithinRate(o.team) {
			continue
		}
		all++
		if o.succeeded() {
			served++
		}
	}
	return served / all, all > 0
}

// wrongfulRefusals is the ratio of first attempts of teams within their rate that were refused or got no answer. It
// doesn't count retries, nor a refusal because the same idempotency id was sent twice at once, which the caller caused.
func (a audit) wrongfulRefusals() (ratio float64, reasons map[string]int, ok bool) {
	var all, refused float64
	reasons = make(map[string]int)
	for _, o := range a.operations {
		if !a.isWithinRate(o.team) || len(o.attempts) == 0 {
			continue
		}
		all++
		first := o.attempts[0]
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

func (a audit) isWithinRate(team identifier.Team) bool {
	i := slices.IndexFunc(a.teams, func(t teamPlan) bool { return t.name == team })
	return i >= 0 && a.teams[i].loadRatio < 1
}
