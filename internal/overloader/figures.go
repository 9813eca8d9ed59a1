// The figures are calculated only from what callers saw, so that a policy that leaves callers without answers gets bad
// figures even if its own metrics are good.
//
// Example: if 900 of 1,000 requests are answered and the ideal would answer 950, goodputRatio is 0.947.

package overloader

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Figures are the measures of one scenario under one policy.
type Figures struct {
	Scenario   string
	Policy     string
	Deployment string
	Seed       uint64
	Offered    int
	Answered   int
	// UrgentFits is set if the capacity suffices for all urgent requests, WithinRateFits if it suffices for all requests
	// within the teams' rates.
	UrgentFits     bool
	WithinRateFits bool
	// Capacity is the deep service's measured capacity, in whole requests a second.
	Capacity             float64
	GoodputRatio         float64
	RecoveryMs           int64
	WorstTeam            string
	WorstTeamRatio       float64
	WrongfulRefusalRatio float64
	UrgentServedRatio    float64
	AttemptsPerRequest   float64
	P50Ms                float64
	P99Ms                float64
	Reasons              map[string]int
}

// neverRecovered is the value of RecoveryMs if the goodput did not recover before the end of the run.
const neverRecovered = -1

// evaluation calculates the figures of one scenario under one policy from the results of all its requests.
type evaluation struct {
	scenario           scenario
	shape              shape
	phases             phases
	results            []result
	attemptsPerRequest float64
}

func (a evaluation) figures(policy string, seed uint64) Figures {
	f := Figures{
		Scenario:           a.scenario.name,
		Policy:             policy,
		Deployment:         a.shape.deployment,
		Capacity:           a.shape.capacity(),
		Seed:               seed,
		AttemptsPerRequest: a.attemptsPerRequest,
		Reasons:            make(map[string]int),
	}
	triggered := a.inTrigger()
	f.Offered = len(triggered)
	for _, r := range triggered {
		if r.answered {
			f.Answered++
			continue
		}
		f.Reasons[reasonOf(r)]++
	}
	f.UrgentFits = sum(a.offered(&urgentPriority)) <= a.scenario.capacity(a.shape.capacity())
	f.WithinRateFits = sum(a.demands()) <= a.scenario.capacity(a.shape.capacity())
	f.GoodputRatio = float64(f.Answered) / a.idealAnswered()
	f.RecoveryMs = a.recoveryMs()
	f.WorstTeam, f.WorstTeamRatio = a.worstTeam()
	f.WrongfulRefusalRatio = a.wrongfulRefusalRatio()
	f.UrgentServedRatio = a.urgentServedRatio()
	f.P50Ms, f.P99Ms = percentiles(triggered)
	return f
}

func reasonOf(r result) string {
	switch {
	case r.reason != "":
		return r.reason
	case r.status == 0:
		return "noAnswer"
	default:
		return "error"
	}
}

func (a evaluation) inTrigger() []result {
	var list []result
	for _, r := range a.results {
		if a.phases.inTrigger(r.arrival.at) {
			list = append(list, r)
		}
	}
	return list
}

// idealAnswered is the upper bound of whole requests answered during the trigger: the requests offered within the teams'
// rates or the capacity, whichever is less.
func (a evaluation) idealAnswered() float64 {
	seconds := a.phases.trigger.Seconds()
	return min(sum(a.demands())*seconds, a.scenario.capacity(a.shape.capacity())*seconds)
}

// demands returns the teams' requests a second during the trigger, each capped at the team's rate.
func (a evaluation) demands() map[identifier.Team]float64 {
	offered := a.offered(nil)
	demands := make(map[identifier.Team]float64)
	for _, l := range a.shape.teamLoads() {
		demands[l.team] = min(offered[l.team], l.rate*a.scenario.rateFactor)
	}
	return demands
}

var urgentPriority = identifier.Urgent

func sum(rates map[identifier.Team]float64) float64 {
	var all float64
	for _, v := range rates {
		all += v
	}
	return all
}

// offered returns the teams' requests a second during the trigger, of one priority or, if class is nil, of all.
func (a evaluation) offered(class *identifier.Priority) map[identifier.Team]float64 {
	offered := make(map[identifier.Team]float64)
	for _, r := range a.inTrigger() {
		if class == nil || a.shape.kinds[r.arrival.kind].priority == *class {
			offered[teamOf(r)] += 1 / a.phases.trigger.Seconds()
		}
	}
	return offered
}

// entitlements divides the capacity as the product promises: priority by priority, and within a priority by weighted
// max-min fairness among the teams. The requests of a team over its rate are scaled down to its rate.
func (a evaluation) entitlements() map[identifier.Team]float64 {
	left := a.scenario.capacity(a.shape.capacity())
	all := a.offered(nil)
	demands := a.demands()
	entitled := make(map[identifier.Team]float64)
	for _, class := range identifier.Priorities {
		wanted := a.offered(&class)
		for t := range wanted {
			wanted[t] *= demands[t] / all[t]
		}
		for t, v := range a.shape.maxMinFairShares(left, wanted) {
			entitled[t] += v
			left -= v
		}
	}
	return entitled
}

// maxMinFairShares divides the capacity by weighted max-min fairness: no team gets more than it wants, and no team gets
// more at the cost of a team that has less in proportion to its weight. It empties wanted.
func (s shape) maxMinFairShares(capacity float64, wanted map[identifier.Team]float64) map[identifier.Team]float64 {
	weights := make(map[identifier.Team]float64)
	for _, t := range s.plan.Presets[0].Teams {
		weights[t.Name] = float64(max(t.Weight, 1))
	}
	got := make(map[identifier.Team]float64)
	for len(wanted) > 0 {
		var sum float64
		for t := range wanted {
			sum += weights[t]
		}
		share := max(capacity, 0) / sum
		satisfied := false
		for t, w := range wanted {
			if w <= share*weights[t] {
				got[t] = w
				capacity -= w
				delete(wanted, t)
				satisfied = true
			}
		}
		if satisfied {
			continue
		}
		for t := range wanted {
			got[t] = share * weights[t]
		}
		return got
	}
	return got
}

// worstTeam returns the team with the lowest ratio of answered requests to its entitlement, and that ratio.
func (a evaluation) worstTeam() (string, float64) {
	served := make(map[identifier.Team]float64)
	for _, r := range a.inTrigger() {
		if r.answered {
			served[teamOf(r)] += 1 / a.phases.trigger.Seconds()
		}
	}
	worst, name := 1e9, ""
	for t, e := range a.entitlements() {
		if e == 0 {
			continue
		}
		if ratio := served[t] / e; ratio < worst {
			worst, name = ratio, string(t)
		}
	}
	return name, worst
}

// wrongfulRefusalRatio is the share of the requests of teams within their rates that were not answered. It is a measure
// of the policy only if the capacity suffices for these requests.
func (a evaluation) wrongfulRefusalRatio() float64 {
	demands := a.demands()
	offered := a.offered(nil)
	var within, refused float64
	for _, r := range a.inTrigger() {
		t := teamOf(r)
		if offered[t] > demands[t] {
			continue
		}
		within++
		if !r.answered {
			refused++
		}
	}
	if within == 0 {
		return 0
	}
	return refused / within
}

// urgentServedRatio is the share of the urgent requests of teams within their rates that were answered.
func (a evaluation) urgentServedRatio() float64 {
	demands := a.demands()
	offered := a.offered(nil)
	var sent, served float64
	for _, r := range a.inTrigger() {
		if !a.shape.kinds[r.arrival.kind].urgent || offered[teamOf(r)] > demands[teamOf(r)] {
			continue
		}
		sent++
		if r.answered {
			served++
		}
	}
	if sent == 0 {
		return 1
	}
	return served / sent
}

const (
	recoveryWindow = time.Second
	recoveryStep   = 100 * time.Millisecond
	recoveredRatio = 0.95
)

// recoveryMs is the time from the end of the trigger to the first window of one second in which the share of answered
// requests is at least 95% of that before the trigger.
func (a evaluation) recoveryMs() int64 {
	before := a.answeredRatio(0, a.phases.before)
	end := a.phases.before + a.phases.trigger
	for d := time.Duration(0); end+d+recoveryWindow <= a.phases.total(); d += recoveryStep {
		if a.answeredRatio(end+d, end+d+recoveryWindow) >= recoveredRatio*before {
			return d.Milliseconds()
		}
	}
	return neverRecovered
}

func (a evaluation) answeredRatio(from, to time.Duration) float64 {
	var all, answered float64
	for _, r := range a.results {
		if r.arrival.at < from || r.arrival.at >= to {
			continue
		}
		all++
		if r.answered {
			answered++
		}
	}
	if all == 0 {
		return 0
	}
	return answered / all
}

func percentiles(list []result) (p50, p99 float64) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, r := range list {
		if r.answered {
			// A run is shorter than the histogram's range of one minute, so no value is rejected.
			_ = h.RecordValue(max(1, r.latency.Microseconds()))
		}
	}
	const microsecondsPerMs = 1000
	return float64(h.ValueAtQuantile(50)) / microsecondsPerMs, float64(h.ValueAtQuantile(99)) / microsecondsPerMs
}

func sorted(list []arrival) []arrival {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}
