// A scenario is a load and a fault over time, the same for every policy. It has three phases: before, the trigger, and
// after, so that recovery can be told from mere survival.
//
// Example: surge3x offers three times the ordinary load for the length of the trigger, from all teams alike.

package overloader

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/launcher"
)

// The lengths of the phases, unless the command line says otherwise.
const (
	beforeTime  = 4 * time.Second
	triggerTime = 8 * time.Second
	afterTime   = 5 * time.Second
)

// The deep service is what every request needs once, so that its capacity is the capacity for whole requests.
const (
	deepEndpoints   = 2
	deepSlots       = 6
	deepServiceTime = 25 * time.Millisecond
	// usualLoadRatio is the part of the deep service's capacity that is offered on an ordinary day.
	usualLoadRatio = 0.7
	// usualRateFactor is a team's rate as a multiple of what it usually sends.
	usualRateFactor = 1.4
	attemptTimeout  = time.Second
)

// requestKind is one sort of request; weight is its part of the mix.
type requestKind struct {
	method   string
	path     string
	urgent   bool
	withID   bool
	weight   float64
	priority identifier.Priority
}

// shape is a deployment as the measurement needs it.
type shape struct {
	deployment  string
	plan        launcher.Plan
	deepService string
	kinds       []requestKind
	// measuredCapacity is the deep service's capacity in calls a second (see calibrate).
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

// services are the plan's first three, a chain, of which only the deep one can run out.
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

// nominalCapacity is the deep service's capacity on paper; the load is drawn by it, so that a seed gives the same requests
// on every machine.
func (s shape) nominalCapacity() float64 {
	return float64(deepEndpoints*deepSlots) / deepServiceTime.Seconds()
}

// capacity is what the deep service was measured to answer a second.
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
	// slowEndpointFactor multiplies that of one endpoint alone, which reports no load meanwhile.
	slowEndpointFactor float64
	// immediateRetries is how often a caller asks again at once.
	immediateRetries int
	// rollingRestart replaces the deep service's endpoints one after the other, each with a cold start.
	rollingRestart bool
	// rateFactor is the teams' rates as a multiple of what they usually send.
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

// capacity is what the deep service can do in whole requests a second while the trigger lasts.
func (s scenario) capacity(ordinary float64) float64 {
	slowed := ordinary / s.slowFactor
	if s.slowEndpointFactor > 1 {
		slowed = ordinary/deepEndpoints*(deepEndpoints-1) + ordinary/deepEndpoints/s.slowEndpointFactor
	}
	return slowed
}

// arrival is one request that a caller wants answered.
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

// teamLoad is one team's usual requests a second.
type teamLoad struct {
	team identifier.Team
	rate float64
}

// teamLoads splits the usual load over the teams in proportion to the rates of the example preset.
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

// arrivals draws the requests of a scenario: a Poisson stream for each team.
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
