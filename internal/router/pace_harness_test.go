package router

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	unevenEndpoints = 36
	unevenSlots     = 24
	// Each endpoint is slow for slowMilliseconds in each slowCycle, at other times than the others.
	slowMilliseconds = 600.0
	slowCycle        = 6 * slowMilliseconds
	slowPace         = 2.5
	unevenUse        = 0.85
	// Calls that arrive in the first warmUpMilliseconds are not counted, since run times are not known yet.
	warmUpMilliseconds = 2_000.0
	reportMilliseconds = 500.0
)

var (
	unevenSpeeds  = []float64{0.5, 0.8, 1, 1.2, 1.6}
	unevenDomains = []identifier.FailureDomain{"a", "b", "c"}
)

// unevenEndpoint has a speed of its own and turns slow for a while; tell returns what it tells of its pace.
type unevenEndpoint struct {
	Endpoint
	speed, offset float64
	tell          func(pace float64, now float64) gauger.Pace
	running       int
	waiting       []*unevenCall
	// rawRun and usualRun are the run times that its node measures, as they are and at the usual pace.
	rawRun, usualRun float64
	ran              int
	// calibrator is that of its node.
	calibrator gauger.Calibrator
}

type unevenCall struct {
	at                         *unevenEndpoint
	node                       int
	arrived, begun, ends, work float64
}

// unevenCalls orders calls by the time at which they end.
type unevenCalls []*unevenCall

func (e unevenCalls) Len() int           { return len(e) }
func (e unevenCalls) Less(i, j int) bool { return e[i].ends < e[j].ends }
func (e unevenCalls) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *unevenCalls) Push(x any)        { *e = append(*e, x.(*unevenCall)) }
func (e *unevenCalls) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// unevenLoad are calls of several nodes to the endpoints of one service.
type unevenLoad struct {
	nodes             int
	run, objective    float64
	milliseconds, use float64
	// tellsPace is false for the router without paces. With full knowledge, a call goes to the fastest free slot, in the
	// whole fleet or in its own failure domain first.
	tellsPace, fullKnowledge, ownDomain bool
	allSlow                             func(now float64) bool

	random                           *rand.Rand
	routers                          []*Router
	endpoints                        []*unevenEndpoint
	byID                             map[identifier.Endpoint]*unevenEndpoint
	inProgress                       unevenCalls
	arrived, answered, late, crossed int
}

func (p unevenLoad) prepare(seed uint64) *unevenLoad {
	p.random = rand.New(rand.NewPCG(seed, 1))
	p.byID = map[identifier.Endpoint]*unevenEndpoint{}
	for i := range unevenEndpoints {
		e := &unevenEndpoint{
			Endpoint: Endpoint{
				ID: identifier.Endpoint(fmt.Sprint(i)), Service: ice, Domain: unevenDomains[i%len(unevenDomains)],
				Slots: unevenSlots, State: Ready,
			},
			speed:  unevenSpeeds[i/len(unevenDomains)%len(unevenSpeeds)],
			offset: p.random.Float64() * slowCycle,
			tell:   func(pace, _ float64) gauger.Pace { return gauger.Pace(100 * pace) },
		}
		p.endpoints, p.byID[e.ID] = append(p.endpoints, e), e
	}
	for i := range p.nodes {
		p.routers = append(p.routers, nil)
		p.restart(i, seed, 0)
	}
	return &p
}

// restart replaces a node's router by one that knows nothing but the endpoints.
func (p *unevenLoad) restart(node int, seed uint64, now clock.Time) {
	r := New(Options{Domain: unevenDomains[node%len(unevenDomains)], Rand: rand.New(rand.NewPCG(seed, uint64(node+10)))})
	for _, e := range p.endpoints {
		r.Put(e.Endpoint, now)
	}
	p.routers[node] = r
}

// paceAt returns an endpoint's pace and for how long it stays.
func (p *unevenLoad) paceAt(e *unevenEndpoint, now float64) (pace, left float64) {
	if p.allSlow != nil {
		if p.allSlow(now) {
			return slowPace, math.Inf(1)
		}
		return 1, math.Inf(1)
	}
	phase := math.Mod(now+e.offset, slowCycle)
	if phase < slowMilliseconds {
		return slowPace, slowMilliseconds - phase
	}
	return 1, slowCycle - phase
}

// start runs a call, whose work goes on at the pace of each moment.
func (p *unevenLoad) start(c *unevenCall, now float64) {
	c.begun, c.ends = now, now
	for work := c.work / c.at.speed; work > 0; {
		pace, left := p.paceAt(c.at, c.ends)
		step := min(work*pace, left+1e-6)
		c.ends += step
		work -= step / pace
	}
	c.at.running++
	heap.Push(&p.inProgress, c)
}

func (p *unevenLoad) place(node int, now float64) *unevenEndpoint {
	if !p.fullKnowledge {
		choice, _ := p.routers[node].PickWithin(ice, clock.Time(now), nil, Need{Within: clock.Duration(p.objective)})
		return p.byID[choice.ID]
	}
	const never = 1e6
	var best *unevenEndpoint
	least := math.Inf(1)
	for _, e := range p.endpoints {
		pace, _ := p.paceAt(e, now)
		expected := p.run / e.speed * pace
		if over := e.running + len(e.waiting) + 1 - unevenSlots; over > 0 {
			expected += never + expected*float64(over)/unevenSlots
		}
		if e.Domain != p.routers[node].options.Domain {
			expected += crossDomainLatency
			if p.ownDomain {
				expected += never / 2
			}
		}
		if expected < least {
			best, least = e, expected
		}
	}
	return best
}

func (p *unevenLoad) arrive(node int, now float64) {
	c := &unevenCall{at: p.place(node, now), node: node, arrived: now, work: p.run * (0.5 + p.random.Float64())}
	if now > warmUpMilliseconds {
		p.arrived++
		if c.at.Domain != p.routers[node].options.Domain {
			p.crossed++
		}
	}
	if c.at.running < unevenSlots {
		p.start(c, now)
		return
	}
	c.at.waiting = append(c.at.waiting, c)
}

func (p *unevenLoad) end(c *unevenCall) {
	e, now := c.at, c.ends
	e.running--
	e.ran++
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		p.start(next, now)
	}
	if c.arrived > warmUpMilliseconds {
		p.answered++
		if now-c.arrived > p.objective {
			p.late++
		}
	}
	truth, _ := p.paceAt(e, now)
	pace := gauger.Pace(0)
	if p.tellsPace {
		pace = e.tell(truth, now)
		e.calibrator.Learn(pace, clock.Time(now))
		pace = e.calibrator.Calibrate(pace)
	}
	learn := func(mean *float64, sample float64) {
		if *mean == 0 {
			*mean = sample
		}
		*mean += (sample - *mean) / 32
	}
	learn(&e.rawRun, now-c.begun)
	learn(&e.usualRun, (now-c.begun)/(pace.Factor()*e.calibrator.Usual()))
	free := max(0, unevenSlots-e.running-len(e.waiting))
	p.routers[c.node].Done(e.ID, Result{
		Headroom: uint8(math.MaxUint8 * free / unevenSlots), Latency: clock.Duration(now - c.arrived), Pace: pace,
		Wait: clock.Duration(math.Ceil(float64(len(e.waiting)) * e.rawRun / unevenSlots)),
	}, clock.Time(now))
}

// simulate runs the load; onReport is called whenever the nodes have exchanged run times.
func (p *unevenLoad) simulate(onReport func(now float64)) *unevenLoad {
	rate := 0.0
	for _, e := range p.endpoints {
		rate += p.use * e.speed * unevenSlots / p.run * (1 - slowMilliseconds/slowCycle*(1-1/slowPace))
	}
	reported := 0.0
	for now := 0.0; now < p.milliseconds; now += p.random.ExpFloat64() / rate {
		for len(p.inProgress) > 0 && p.inProgress[0].ends <= now {
			p.end(heap.Pop(&p.inProgress).(*unevenCall))
		}
		if now-reported >= reportMilliseconds {
			reported = now
			for _, e := range p.endpoints {
				for _, r := range p.routers {
					r.SetRunTimes(e.ID, RunTimes{Root: clock.Duration(math.Round(e.usualRun * e.calibrator.Usual()))})
				}
			}
			if onReport != nil {
				onReport(now)
			}
		}
		p.arrive(p.random.IntN(p.nodes), now)
	}
	return p
}

// String summarizes the load.
func (p *unevenLoad) String() string {
	return fmt.Sprintf("%d calls, %d answered, %d late (%.4f), %d crossed (%.3f)", p.arrived, p.answered, p.late,
		float64(p.late)/float64(p.arrived), p.crossed, float64(p.crossed)/float64(p.arrived))
}
