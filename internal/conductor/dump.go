package conductor

// A dump shows the whole state of a node at one moment to an engineer.
//
// Example: {"version":12,"ready":true,"members":[...]}

import (
	"maps"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/budgeter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// State is the state of a conductor at one moment.
type State struct {
	Version    identifier.Version
	Ready      bool
	Open       int
	Deliveries int
	Running    int
	Queued     int
	Limit      int
	QueueDelay clock.Duration
	Excess     float64
	// Arriving is the rate of calls for the local endpoint and Capable the rate that it can answer, in calls a second.
	Arriving, Capable float64
	Excesses          map[identifier.Service]float64
	// RefusedComputed and RefusedMeasured are the largest fractions of a service's calls that are refused at the root, by how
	// they were determined: computed from arrivals, or measured at the endpoints.
	RefusedComputed, RefusedMeasured float64
	// ArrivalReporters is the number of nodes whose arrivals are known, this one included; ArrivalsComplete is set if these
	// are all nodes. DemandRatios holds the ratio of the measured to the computed demand of each service.
	ArrivalReporters int
	ArrivalsComplete bool
	DemandRatios     map[identifier.Service]float64
	// Demands and Capacities are the computed demand and the reported capacity of these services, in calls a second.
	Demands, Capacities map[identifier.Service]float64
	// FullRate is the rate of calls that the local endpoint answers with all its slots in use, 0 if it is not known.
	FullRate float64
	// TeamsDivided is the number of services that divide a kind of requests between teams.
	TeamsDivided int
	Members      []exchanger.Member
	// ColdLeft is how much longer the local endpoint counts as cold, ColdOthers the number of cold endpoints beside
	// other nodes.
	ColdLeft   clock.Duration
	ColdOthers int
	// Limited is set if the local endpoint names a rate limit, of RateLimit requests a second, and has done so for
	// LimitAge.
	Limited   bool
	RateLimit float64
	LimitAge  clock.Duration
	// HeldBack counts the requests turned away because of such limits, OtherLimits the limited endpoints beside other
	// nodes.
	HeldBack    int64
	OtherLimits int
	// Evacuated are the failure domains whose endpoints get no requests, as known up to the offset OrdersNext.
	Evacuated  []identifier.FailureDomain
	OrdersNext identifier.Offset
	// Declining is the part of the offered calls that each declining service declines.
	Declining map[identifier.Service]float64
	// The retries granted and refused at this node count root requests and nested calls separately. FailedSlotTime is the
	// time of runs at the local endpoint that were of no use to their callers.
	RootRetriesGranted, RootRetriesRefused     int64
	NestedRetriesGranted, NestedRetriesRefused int64
	FailedSlotTime                             clock.Duration
}

// Dump returns the conductor's state.
func (c *Conductor) Dump(now clock.Time) State {
	c.makePlan(now)
	s := State{
		Version:    c.Version(),
		Ready:      c.Ready(),
		Open:       len(c.calls),
		Deliveries: len(c.deliveries),
		Excess:     c.throttler.Excess(),
	}
	if c.limiter != nil {
		s.Running, s.Queued, s.Limit = c.limiter.InFlight(), c.limiter.Queued(), c.limiter.Limit()
	}
	s.Arriving, s.Capable = c.throttler.Rates()
	s.QueueDelay = c.QueueDelay(now)
	s.Excesses = maps.Clone(c.plan.excess)
	c.dumpShedding(&s)
	s.ColdLeft = c.coldLeft(c.self.Node, now)
	s.Limited, s.RateLimit, s.LimitAge = c.limit.limited, c.limit.perSecond, c.limit.age(now)
	s.Evacuated, s.OrdersNext = c.EvacuatedDomains(), c.ordersNext
	s.HeldBack = c.heldBack
	s.Declining = maps.Clone(c.declining)
	s.RootRetriesGranted, s.RootRetriesRefused = c.retries[budgeter.Root].granted, c.retries[budgeter.Root].refused
	s.NestedRetriesGranted, s.NestedRetriesRefused = c.retries[budgeter.Nested].granted, c.retries[budgeter.Nested].refused
	s.FailedSlotTime = c.failedSlotTime
	for _, l := range c.otherLimits {
		if l.limited {
			s.OtherLimits++
		}
	}
	for node := range c.otherColdUntil {
		if c.coldLeft(node, now) > 0 {
			s.ColdOthers++
		}
	}
	for _, node := range slices.Sorted(maps.Keys(c.members)) {
		s.Members = append(s.Members, c.members[node])
	}
	return s
}

func (c *Conductor) dumpShedding(s *State) {
	s.ArrivalReporters, s.ArrivalsComplete = c.plan.arrivalReporters, c.plan.arrivalsComplete
	s.DemandRatios = map[identifier.Service]float64{}
	s.Demands, s.Capacities = maps.Clone(c.plan.demands), maps.Clone(c.plan.capacities)
	s.FullRate = c.throttler.FullRate()
	for service, excess := range c.plan.excess {
		if c.plan.computedServices[service] {
			s.RefusedComputed = max(s.RefusedComputed, excess)
			s.DemandRatios[service] = c.demandModels[service].ratio
		} else {
			s.RefusedMeasured = max(s.RefusedMeasured, excess)
		}
	}
	for _, t := range c.plan.thresholds {
		if t.divided {
			s.TeamsDivided++
		}
	}
}

// Fields returns the state under the names that a dump shows.
func (s State) Fields() map[string]any {
	members := make([]map[string]any, 0, len(s.Members))
	for _, m := range s.Members {
		members = append(members, map[string]any{
			"node": m.Node, "service": m.Service, "failureDomain": m.Domain, "endpoint": m.Endpoint,
			"slots": m.Slots, "state": m.State, "sequence": m.Sequence,
		})
	}
	return map[string]any{
		"version": s.Version, "ready": s.Ready, "openRequests": s.Open, "deliveries": s.Deliveries,
		"running": s.Running, "queued": s.Queued, "limit": s.Limit, "excess": s.Excess, "arriving": s.Arriving, "capable": s.Capable,
		"excesses": s.Excesses, "members": members, "coldMs": int64(s.ColdLeft), "coldOthers": s.ColdOthers,
		"limited": s.Limited, "rateLimit": s.RateLimit, "limitAgeMs": int64(s.LimitAge),
		"heldBack": s.HeldBack, "otherLimits": s.OtherLimits,
		"refusedComputed": s.RefusedComputed, "refusedMeasured": s.RefusedMeasured, "arrivalReporters": s.ArrivalReporters,
		"arrivalsComplete": s.ArrivalsComplete, "demandRatios": s.DemandRatios, "demands": s.Demands,
		"capacities": s.Capacities, "fullRate": s.FullRate, "teamsDivided": s.TeamsDivided,
		"evacuated": s.Evacuated, "ordersNext": int64(s.OrdersNext),
		"declining": s.Declining, "rootRetriesGranted": s.RootRetriesGranted, "rootRetriesRefused": s.RootRetriesRefused,
		"nestedRetriesGranted": s.NestedRetriesGranted, "nestedRetriesRefused": s.NestedRetriesRefused,
		"failedSlotMs": int64(s.FailedSlotTime),
	}
}
