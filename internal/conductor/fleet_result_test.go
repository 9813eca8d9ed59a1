package conductor

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/rationer"
)

func (f *loadFleet) observe() {
	occupied, queued := 0, 0
	for i := range loadEndpoints {
		l := f.nodes[3*i].c.limiter
		occupied, queued = occupied+l.InFlight(), queued+l.Queued()
	}
	f.occupied, f.queued = append(f.occupied, float64(occupied)), append(f.queued, float64(queued))
}

// loadResult is what callers got in a time span.
type loadResult struct {
	// served is the number of whole requests served, as a part of what an ideal scheduler serves that knows all arrivals,
	// shed in the same order in each window.
	served float64
	// inverted is the part of the demand that was refused beyond what that scheduler refuses of the kind, although as much of a
	// less urgent kind was admitted beyond what it admits of that one.
	inverted float64
	// refused is the refused part of the demand, wanted the part that exceeds the capacity.
	refused, wanted float64
	// needless is the part of the requests that was refused in windows in which, and in those before and after, a tenth of
	// the slots was free and nothing was queued.
	needless float64
	// failed is the part of the admitted requests that was not served whole.
	failed float64
}

func (f *loadFleet) result(from, until clock.Time) loadResult {
	var r loadResult
	served, ideal, demand, inverted, refused, excess, offered, needless, admitted := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for w := int(from / loadWindow); w < int(until/loadWindow); w++ {
		counts := f.windows[w]
		if counts == nil {
			continue
		}
		demands := f.demandsOf(w)
		fits := idealServed(demands, f.capacity*loadWindow)
		urgentRefused, all, refusedBeyond := 0.0, 0.0, 0.0
		for kind, k := range loadKinds {
			n := counts[kind]
			ideal, served = ideal+fits[kind]/k.slotTime(), served+n.served
			inverted += min(refusedBeyond, max(0, demands[kind]-n.refused*k.slotTime()-fits[kind]))
			refusedBeyond += max(0, n.refused*k.slotTime()-(demands[kind]-fits[kind]))
			urgentRefused += n.refused * k.slotTime()
			all += demands[kind]
			offered, admitted = offered+n.offered, admitted+n.offered-n.refused
			if f.idle(w-1) && f.idle(w) && f.idle(w+1) {
				needless += n.refused
			}
		}
		demand, refused = demand+all, refused+urgentRefused
		excess += max(0, all-f.capacity*loadWindow)
	}
	r.served, r.inverted, r.needless = served/ideal, inverted/demand, needless/offered
	r.refused, r.wanted = refused/demand, excess/demand
	r.failed = 1 - served/admitted
	return r
}

func (f *loadFleet) idle(window int) bool {
	return window >= 0 && window < len(f.queued) && f.queued[window] == 0 && f.occupied[window] < 0.9*f.capacity
}

// worstTeam returns the smallest ratio of the slot time of a team's served requests to its fair share: what it gets from an
// ideal scheduler that knows all arrivals, and divides the kinds that fit in part by weighted max-min fairness.
func (f *loadFleet) worstTeam(from, until clock.Time) float64 {
	var got, fair [loadTeams]float64
	for w := int(from / loadTeamWindow); w < int(until/loadTeamWindow); w++ {
		var claims [3][loadTeams]rationer.Claim
		var demands [3]float64
		for kind, k := range loadKinds {
			for t, counts := range f.teams[w][kind] {
				claims[kind][t] = rationer.Claim{Weight: f.teamRate[t], Demand: counts.offered * k.slotTime()}
				demands[kind] += claims[kind][t].Demand
				got[t] += counts.served * k.slotTime()
			}
		}
		for kind, fits := range idealServed(demands, f.capacity*loadTeamWindow) {
			for t, share := range rationer.Share(claims[kind][:], fits) {
				fair[t] += share
			}
		}
	}
	worst := 1.0
	for t := range fair {
		worst = min(worst, got[t]/fair[t])
	}
	return worst
}
