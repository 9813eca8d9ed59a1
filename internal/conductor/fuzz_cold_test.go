package conductor

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	fuzzColdRate  = 8.7
	fuzzColdStart = 1500 * clock.Millisecond
	// fuzzDownTime is how long a crashed endpoint is down; its heartbeat is the first that is heard of its return.
	fuzzDownTime = 600 * clock.Millisecond
	// fuzzEndpointFaultsRate is high enough for cold endpoints to be asked for more than they bear.
	fuzzEndpointFaultsRate = 2000.0
)

// endpointState is what is true of an endpoint and its failure domain.
type endpointState struct {
	down      bool
	restarts  int64
	coldUntil clock.Time
	// begun are the runs that began while the endpoint was cold.
	begun []clock.Time
	// knowsEvacuated tells that the node beside it was told that its domain is evacuated.
	knowsEvacuated bool
}

func (p *endpointState) coldLeft(now clock.Time) clock.Duration {
	return max(0, p.coldUntil.Sub(now))
}

func (w *fleetWorld) domainOf(i int) identifier.FailureDomain {
	if w.endpointFaults && i >= fuzzNodes/2 {
		return "east"
	}
	return "west"
}

func (w *fleetWorld) coldBound() ColdBound {
	if !w.endpointFaults {
		return ColdBound{}
	}
	return ColdBound{Excess: 1.5, Slack: 8}
}

func (w *fleetWorld) evacuations() []identifier.FailureDomain {
	var domains []identifier.FailureDomain
	for _, d := range []identifier.FailureDomain{"west", "east"} {
		if w.evacuated[d] {
			domains = append(domains, d)
		}
	}
	return domains
}

func (w *fleetWorld) applyEvacuations(i int, domains []identifier.FailureDomain) {
	if !w.endpointFaults {
		return
	}
	w.nodes[i].endpoint.knowsEvacuated = false
	for _, d := range domains {
		if d == w.domainOf(i) {
			w.nodes[i].endpoint.knowsEvacuated = true
		}
	}
	w.apply(i, 0, DomainsEvacuated{Domains: domains})
}

// toggleEvacuation changes what operators ask of a domain; the endpoints of one that is taken back are cold.
func (w *fleetWorld) toggleEvacuation(d identifier.FailureDomain) {
	if w.storeDown {
		return
	}
	w.evacuated[d] = !w.evacuated[d]
	for i := range w.nodes {
		if w.domainOf(i) == d && !w.evacuated[d] {
			w.turnCold(i)
		}
	}
}

// turnCold has an endpoint say at once that it is cold, where its node can hear that.
func (w *fleetWorld) turnCold(i int) {
	n := w.nodes[i]
	n.endpoint.coldUntil = w.now.Add(fuzzColdStart)
	w.sendMissedHeartbeat(i)
}

// sendMissedHeartbeat hands a node the heartbeat that waited for it.
func (w *fleetWorld) sendMissedHeartbeat(i int) {
	if n := w.nodes[i]; w.endpointFaults && n.up && !n.frozen {
		w.heartbeat(i)
	}
}

func (w *fleetWorld) crashEndpoint(i int) {
	n := w.nodes[i]
	if n.endpoint.down || n.leaving {
		return
	}
	n.endpoint.down = true
	w.after(fuzzDownTime, func() {
		n.endpoint.down = false
		n.endpoint.restarts++
		n.sequence = 0
		w.turnCold(i)
	})
}

// reachesEndpoint tells whether a request that was let through reaches its endpoint, and judges that it may.
func (w *fleetWorld) reachesEndpoint(to int, local CallID, done func(Outcome)) bool {
	n := w.nodes[to]
	if n.endpoint.down {
		w.apply(to, local, DeliveryEnded{ID: local, Outcome: Unreached})
		w.apply(to, 0, EndpointUnreachable{Endpoint: identifier.Endpoint(fmt.Sprintf("i%d", to))})
		w.after(fuzzLatency, func() { done(Unreached) })
		return false
	}
	if n.endpoint.knowsEvacuated {
		w.t.Fatalf("%d: endpoint i%d got a request though its node knows that its domain is evacuated", w.now, to)
	}
	if w.now < n.endpoint.coldUntil {
		n.endpoint.begun = append(n.endpoint.begun, w.now)
	}
	return true
}

func (w *fleetWorld) checkColdRate() {
	if !w.endpointFaults {
		return
	}
	for i, n := range w.nodes {
		for first, from := range n.endpoint.begun {
			count := 0
			for _, at := range n.endpoint.begun[first:] {
				if at.Sub(from) < clock.Second {
					count++
				}
			}
			if float64(count) > fuzzColdRate*1.5+8 {
				w.t.Fatalf("%d runs began within a second from %d on at endpoint i%d, which is cold", count, from, i)
			}
		}
	}
}
