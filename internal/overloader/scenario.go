// A scenario is a load and a fault over time, the same for every policy. It has three phases, before, trigger and after,
// so that the figures show whether goodput recovers after the trigger and not only how much is left during it.
//
// Example: surge3x offers three times the usual load during the trigger, with the same factor for all teams.

package overloader

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/launcher"
)

// The lengths of the phases.
const (
	beforeTime  = 4 * time.Second
	triggerTime = 8 * time.Second
	afterTime   = 5 * time.Second
)

// The deep service is the last service of the call chain. Every request calls it once, so its capacity is the capacity
// for whole requests.
const (
	deepEndpoints   = 2
	deepSlots       = 6
	deepServiceTime = 25 * time.Millisecond
	// usualLoadRatio is the share of the deep service's nominal capacity that is offered outside of the trigger.
	usualLoadRatio = 0.7
	// usualRateFactor is the configured rate of a team as a multiple of its usual load.
	usualRateFactor = 1.4
	// attemptTimeout is how long callers, and the hops of a baseline, wait for an answer to one attempt.
	attemptTimeout = time.Second
)

// requestKind is one type of request; weight is its share of all requests.
type requestKind struct {
	method   string
	path     string
	urgent   bool
	withID   bool
	weight   float64
	priority identifier.Priority
}

// shape is a deployment reduced to what the measurement needs: the services of the call chain and the types of requests.
type shape struct {
	deployment  string
	plan        launcher.Plan
	deepService string
	kinds       []requestKind
	// measuredCapacity is the deep service's capacity in calls a second (see measureEndpointCapacity).
	measuredCapacity float64
}

func shapeOf(deployment string) (shape, error) {
	plan, err := launcher.PlanOf(deployment)
	if err != nil {
		return shape{}, err
	}
	s := shape{deployment: deployment, plan: plan, deepService: "ice", kinds: kitakazeKinds}
	if deployment == "concordia" {
		s.deepService = "prayerTimes"
		s.kinds = concordiaKinds
	}
	s.plan.Services = s.services()
	return s, nil
}

var kitakazeKinds = []requestKind{
	{method: "GET", path: "/ice/bulletins", urgent: true, weight: 0.2, priority: identifier.Urgent},
	{method: "GET", path: "/slotBoard/slots", weight: 0.4, priority: identifier.Low},
	{method: "GET", path: "/bookings/mine", weight: 0.25, priority: identifier.Normal},
	{method: "POST", path: "/bookings/escorts", withID: true, weight: 0.15, priority: identifier.High},
}

var concordiaKinds = []requestKind{
	{method: "GET", path: "/prayerTimes/fastTimes", urgent: true, weight: 0.2, priority: identifier.Urgent},
	{method: "GET", path: "/portal/search", weight: 0.4, priority: identifier.Low},
	{method: "GET", path: "/orders/mine", weight: 0.25, priority: identifier.Normal},
	{method: "POST", path: "/orders/orders", withID: true, weight: 0.15, priority: identifier.High},
}

// services returns the plan's services that call others, and the deep service. Together they are a call chain, in which
// only the deep service has few enough slots to be overloaded.
func (s shape) services() []launcher.Service {
	var list []launcher.Service
	for _, v := range s.plan.Services {
		switch {
		case v.Name == s.deepService:
			v.Endpoints = deepEndpoints
			v.Slots = deepSlots
			v.ServiceTime = deepServiceTime
		case len(v.Calls) > 0:
			v.Endpoints = 2
			v.Slots = 60
			v.ServiceTime = 5 * time.Millisecond
			v.Connections = 400
		default:
			continue
		}
		list = append(list, v)
	}
	return list
}

// nominalCapacity is the deep service's capacity by slots and service time. The load is derived from it and not from the
// measured capacity, so that a seed gives the same requests on every machine.
func (s shape) nominalCapacity() float64 {
	return float64(deepEndpoints*deepSlots) / deepServiceTime.Seconds()
}

// capacity is the measured number of calls that the deep service answers a second.
func (s shape) capacity() float64 { return s.measuredCapacity }

// scenario is a load and a fault.
type scenario struct {
	name string
	// surgeFactor multiplies the load of all teams during the trigger.
	surgeFactor float64
	// greedyFactor multiplies the load of the first team during the trigger.
	greedyFactor float64
	// slowFactor multiplies the service time of the deep service during the trigger.
	slowFactor float64
	// slowEndpointFactor multiplies the service time of one endpoint of the deep service during the trigger, while that
	// endpoint falsely reports a load of zero.
	slowEndpointFactor float64
	// immediateRetries is how many times a caller retries a failed request without backoff.
	immediateRetries int
	// rollingRestart replaces the deep service's endpoints one after the other, each with a cold start.
	rollingRestart bool
	// rateFactor is the teams' configured rates as a multiple of their usual load.
	rateFactor float64
}

var scenarios = []scenario{
	{name: "surge3x", surgeFactor: 3, rateFactor: 5},
	{name: "slowDeepHardRetries", surgeFactor: 2, slowFactor: 5, immediateRetries: 3, rateFactor: 10},
	{name: "greedyTeam", greedyFactor: 10, rateFactor: usualRateFactor},
	{name: "lyingLoad", slowEndpointFactor: 10, rateFactor: usualRateFactor},
	{name: "coldRollingRestart", rollingRestart: true, rateFactor: usualRateFactor},
	{name: "slowDeepAndGreedyTeam", greedyFactor: 10, slowFactor: 3, immediateRetries: 3, rateFactor: usualRateFactor},
}

func (s scenario) withDefaults() scenario {
	s.surgeFactor = orOne(s.surgeFactor)
	s.greedyFactor = orOne(s.greedyFactor)
	s.slowFactor = orOne(s.slowFactor)
	s.slowEndpointFactor = orOne(s.slowEndpointFactor)
	return s
}

func orOne(v float64) float64 {
	if v == 0 {
		return 1
	}
	return v
}

// capacity returns the deep service's capacity during the trigger, in whole requests a second, from its ordinary one.
func (s scenario) capacity(ordinary float64) float64 {
	slowed := ordinary / s.slowFactor
	if s.slowEndpointFactor > 1 {
		slowed = ordinary/deepEndpoints*(deepEndpoints-1) + ordinary/deepEndpoints/s.slowEndpointFactor
	}
	return slowed
}

// arrival is one request and the time at which its caller first sends it.
type arrival struct {
	at   time.Duration
	team identifier.Team
	kind int
	seed uint64
}

type phases struct {
	before, trigger, after time.Duration
}

func (t phases) total() time.Duration { return t.before + t.trigger + t.after }

func (t phases) inTrigger(at time.Duration) bool {
	return at >= t.before && at < t.before+t.trigger
}

// teamLoad is a team's usual load, in requests a second.
type teamLoad struct {
	team identifier.Team
	rate float64
}

// teamLoads divides the usual load among the teams in proportion to their rates in the example preset.
func (s shape) teamLoads() []teamLoad {
	teams := s.plan.Presets[0].Teams
	var sum float64
	for _, t := range teams {
		sum += float64(t.Rate)
	}
	loads := make([]teamLoad, 0, len(teams))
	for _, t := range teams {
		loads = append(loads, teamLoad{team: t.Name, rate: float64(t.Rate) / sum * s.nominalCapacity() * usualLoadRatio})
	}
	return loads
}

// arrivals returns the random requests of a scenario, a Poisson process for each team.
func (s shape) arrivals(sc scenario, t phases, seed uint64) []arrival {
	var list []arrival
	for i, l := range s.teamLoads() {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		factor := sc.surgeFactor
		if i == 0 {
			factor *= sc.greedyFactor
		}
		list = append(list, s.teamArrivals(l, factor, t, r)...)
	}
	return list
}

func (s shape) teamArrivals(l teamLoad, factor float64, t phases, r *rand.Rand) []arrival {
	var list []arrival
	peak := l.rate * max(factor, 1)
	var at time.Duration
	for {
		at += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if at >= t.total() {
			return list
		}
		rate := l.rate
		if t.inTrigger(at) {
			rate *= factor
		}
		kept := r.Float64() < rate/peak
		k := s.drawKind(r)
		if kept {
			list = append(list, arrival{at: at, team: l.team, kind: k, seed: r.Uint64()})
		}
	}
}

func (s shape) drawKind(r *rand.Rand) int {
	v := r.Float64()
	for i, k := range s.kinds {
		v -= k.weight
		if v < 0 {
			return i
		}
	}
	return len(s.kinds) - 1
}
