package router

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// simulatedEndpoint is an endpoint with slots and a queue.
type simulatedEndpoint struct {
	Endpoint
	running int
	waiting []*simulatedCall
}

type simulatedCall struct {
	at             *simulatedEndpoint
	arrived, begun float64
	ends           float64
	own            bool
}

// callsByEnd orders calls by the time at which they end.
type callsByEnd []*simulatedCall

func (e callsByEnd) Len() int           { return len(e) }
func (e callsByEnd) Less(i, j int) bool { return e[i].ends < e[j].ends }
func (e callsByEnd) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *callsByEnd) Push(x any)        { *e = append(*e, x.(*simulatedCall)) }
func (e *callsByEnd) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation has one node's calls to an endpoint in its own failure domain and one elsewhere, which other nodes load as
// well.
type simulation struct {
	router           *Router
	random           *rand.Rand
	endpoints        map[identifier.Endpoint]*simulatedEndpoint
	inProgress       callsByEnd
	waits            []float64
	crossDomainCalls int
}

const (
	simulatedSlots      = 26
	meanRunMilliseconds = 22.0
)

func newSimulation() *simulation {
	p := &simulation{
		router:    New(Options{Domain: "a", Rand: rand.New(rand.NewPCG(3, 4))}),
		random:    rand.New(rand.NewPCG(5, 6)),
		endpoints: map[identifier.Endpoint]*simulatedEndpoint{},
	}
	for _, domain := range []identifier.FailureDomain{"a", "b"} {
		e := Endpoint{ID: identifier.Endpoint("in-" + domain), Service: ice, Domain: domain, Slots: simulatedSlots, State: Ready}
		p.endpoints[e.ID] = &simulatedEndpoint{Endpoint: e}
		p.router.Put(e, 0)
	}
	return p
}

func (p *simulation) start(c *simulatedCall, now float64) {
	c.begun, c.ends = now, now+meanRunMilliseconds*p.random.ExpFloat64()
	c.at.running++
	heap.Push(&p.inProgress, c)
}

func (p *simulation) arrive(e *simulatedEndpoint, own bool, now float64) {
	c := &simulatedCall{at: e, arrived: now, own: own}
	if e.running < simulatedSlots {
		p.start(c, now)
		return
	}
	e.waiting = append(e.waiting, c)
}

func (p *simulation) end(c *simulatedCall) {
	e := c.at
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		p.start(next, c.ends)
	}
	if !c.own {
		return
	}
	p.waits = append(p.waits, c.begun-c.arrived)
	free := max(0, simulatedSlots-e.running-len(e.waiting))
	p.router.Done(e.ID, Result{
		Headroom: uint8(math.MaxUint8 * free / simulatedSlots),
		Wait:     clock.Duration(float64(len(e.waiting)) * meanRunMilliseconds / simulatedSlots),
		Latency:  clock.Duration(c.ends - c.arrived),
	}, clock.Time(c.ends))
}

// run simulates ten seconds in which this node's calls would use a fraction of the local endpoint, and those of others
// a fraction of the remote one.
func (p *simulation) run(near, far float64) {
	gap := func(use float64) float64 { return p.random.ExpFloat64() * meanRunMilliseconds / (simulatedSlots * use) }
	nextOwn, nextOther := gap(near), gap(far)
	for now := 0.0; now < 10_000; {
		now = min(nextOwn, nextOther)
		for len(p.inProgress) > 0 && p.inProgress[0].ends <= now {
			p.end(heap.Pop(&p.inProgress).(*simulatedCall))
		}
		if nextOther < nextOwn {
			p.arrive(p.endpoints["in-b"], false, now)
			nextOther += gap(far)
			continue
		}
		nextOwn += gap(near)
		e, ok := p.router.PickWithin(ice, clock.Time(now), nil, Need{Within: 300})
		if !ok {
			continue
		}
		if e.Crossing != Inside {
			p.crossDomainCalls++
		}
		p.arrive(p.endpoints[e.ID], true, now)
	}
}

// One node makes nearly all calls to the only endpoint of its failure domain, as a backend server does whose runs need
// it. While that endpoint has free slots, spillover gains nothing: each call that leaves costs a round trip between
// domains and its traffic. When the endpoint is full, calls would wait in its queue although others have headroom.
func TestSpilloverIsLimitedToExcessLoad(t *testing.T) {
	for name, c := range map[string]struct {
		near, far float64
		// minCrossing and maxCrossing bound the fraction of calls that leave the local failure domain; 95% of calls wait
		// at most maxUsualWait.
		minCrossing, maxCrossing float64
		maxUsualWait             clock.Duration
	}{
		"half used": {near: 0.5, far: 0.3, maxCrossing: 0.002, maxUsualWait: 5},
		// At this utilization one call in eleven would find all slots taken if none left.
		"well used":             {near: 0.75, far: 0.3, maxCrossing: 0.09, maxUsualWait: 10},
		"more than it can take": {near: 1.3, far: 0.3, minCrossing: 0.2, maxCrossing: 0.6, maxUsualWait: 60},
		"as full as the other":  {near: 0.95, far: 0.95, maxCrossing: 0.25, maxUsualWait: 150},
		"the other is fuller":   {near: 0.9, far: 0.99, maxCrossing: 0.15, maxUsualWait: 100},
	} {
		t.Run(name, func(t *testing.T) {
			p := newSimulation()
			p.run(c.near, c.far)
			crossed := float64(p.crossDomainCalls) / float64(len(p.waits))
			waitedLonger := 0
			for _, wait := range p.waits {
				if wait > float64(c.maxUsualWait) {
					waitedLonger++
				}
			}
			summary := fmt.Sprintf("a fraction of %.3f of %d calls left the local failure domain, %d waited longer than %d ms", crossed, len(p.waits), waitedLonger, c.maxUsualWait)
			assert.Assert(t, crossed >= c.minCrossing && crossed <= c.maxCrossing, summary)
			assert.Assert(t, waitedLonger <= len(p.waits)/20, summary)
			t.Log(summary)
		})
	}
}
