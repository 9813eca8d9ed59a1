package conductor

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// A fleet of real conductors serves requests whose chains end at the endpoints of one overloaded service, each of which is
// a queue in front of slots. Callers are unlike: each node gets its own mix of kinds and teams.

const (
	loadNodes     = 12
	loadEndpoints = 4
	loadSlots     = 168
	// loadUsable is the number of slots that the limiter uses of these.
	loadUsable = 157
	loadTeams  = 8
	// Reports are made every loadReportPeriod and arrive after loadReportTransit to twice that, so that a node uses reports
	// that are 0.2 to 0.5 s old.
	loadReportPeriod  = 150
	loadReportTransit = 175
	loadWindow        = 100
	// loadTeamWindow is the time in which a fair share is computed; the share of a team at each moment depends on chance.
	loadTeamWindow = 1000
)

// loadKind is a kind of root request: branches in parallel, each of several calls in sequence, at the overloaded service.
type loadKind struct {
	route             string
	service           identifier.Service
	rank              int
	branches, calls   int
	runTime           clock.Duration
	share             float64
	deadline, timeout clock.Duration
}

// slotTime is the slot time of a request of the kind at the overloaded service.
func (k loadKind) slotTime() float64 {
	return float64(k.branches*k.calls) * float64(k.runTime)
}

// loadKinds are ordered from the most to the least urgent; share is the part of the demanded slot time.
var loadKinds = []loadKind{
	{route: "fast", service: "clock", rank: 0, branches: 1, calls: 1, runTime: 120, share: 0.15, deadline: 2000, timeout: 333},
	{route: "obs", service: "portal", rank: 1, branches: 2, calls: 4, runTime: 40, share: 0.5, deadline: 5000, timeout: 233},
	{route: "ord", service: "desk", rank: 2, branches: 2, calls: 4, runTime: 40, share: 0.35, deadline: 5000, timeout: 233},
}

type loadCounts struct {
	offered, refused, served float64
}

type loadNode struct {
	c       *Conductor
	service identifier.Service
	// domain is the node's part of the fleet; nodes of a cut domain exchange reports only with each other.
	domain int
	killed bool
	weight [3]float64
	onRun  map[CallID]func(Effect)
}

// loadFleet is the simulation.
type loadFleet struct {
	random   *rand.Rand
	now      clock.Time
	events   map[clock.Time][]func()
	nodes    []*loadNode
	lastID   CallID
	number   int64
	capacity float64
	// older is the number of nodes whose reports have no arrivals; all of them are the policy before this one.
	older int
	// cut is the domain that is cut off, -1 for none; duplicate is set while reports arrive twice and out of order.
	cut       int
	duplicate bool
	// stalledFrom and stalledUntil bound a time in which calls run stallFactor times as long at all endpoints.
	stalledFrom, stalledUntil clock.Time
	// demand is the demanded slot time as a part of the capacity.
	demand func(now clock.Time) float64
	// teamWeight is the part of the demand that comes from each team.
	teamWeight [loadTeams]float64
	teamRate   [loadTeams]float64
	windows    map[int]*[3]loadCounts
	// teams holds the counts by loadTeamWindow, kind and team.
	teams    map[int]*[3][loadTeams]loadCounts
	occupied []float64
	queued   []float64
}

func newLoadFleet(seed uint64, demand func(clock.Time) float64) *loadFleet {
	f := &loadFleet{
		random: rand.New(rand.NewPCG(seed, 7)), events: map[clock.Time][]func(){}, demand: demand, cut: -1,
		capacity: loadEndpoints * loadUsable, windows: map[int]*[3]loadCounts{},
		teams: map[int]*[3][loadTeams]loadCounts{},
	}
	for i := range f.teamWeight {
		f.teamWeight[i], f.teamRate[i] = 1, 1000
	}
	// A team at three times the demand of the others, and one that has purchased half as much.
	f.teamWeight[0], f.teamRate[3] = 3, 500
	for i := range loadNodes {
		n := &loadNode{service: []identifier.Service{"clock", "portal", "desk"}[i%3], domain: i * 3 / loadNodes}
		for k := range n.weight {
			n.weight[k] = 0.1 + 2*f.random.Float64()
		}
		if i == 5 {
			n.weight = [3]float64{}
		}
		f.nodes = append(f.nodes, n)
	}
	for i := range f.nodes {
		f.start(i)
	}
	return f
}

func loadMember(i int, service identifier.Service) exchanger.Member {
	m := peer(identifier.Node(fmt.Sprintf("n%02d", i)), service)
	m.Slots = loadSlots
	return m
}

// start starts a node's process without any knowledge.
func (f *loadFleet) start(i int) {
	n := f.nodes[i]
	f.number++
	self := loadMember(i, n.service)
	self.Incarnation = f.number
	n.killed, n.onRun = false, map[CallID]func(Effect){}
	n.c = New(Options{
		Self:            self,
		Bounds:          Bounds{RevokeWithin: 500_000, ApplyWithin: 2000, Rate: apportioner.Tolerance{Window: 5, Part: 0.1, Requests: 20}},
		EndpointAddress: "10.0.0.1:80",
		Random:          rand.New(rand.NewPCG(uint64(i), uint64(f.number))),
	}, f.now)
	var routes []matcher.Route
	for _, k := range loadKinds {
		r := route(k.route, k.service, matcher.Idempotent)
		r.Rank = k.rank
		routes = append(routes, r)
	}
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public = true
	config := configuration(3, append(routes, inner)...)
	config.Teams = nil
	for t := range loadTeams {
		config.Teams = append(config.Teams, matcher.Team{
			Name: identifier.Team(fmt.Sprint("team", t)), Keys: []string{fmt.Sprint("k", t)}, Rate: f.teamRate[t], Burst: 5000,
		})
	}
	m, err := matcher.New(config)
	if err != nil {
		panic(err)
	}
	n.c.Apply(ConfigurationRead{Matcher: m}, f.now)
	n.c.Apply(ConfigurationProved{Version: 3, AsOf: boot}, f.now)
	announcement := registrarAnnouncement(self)
	n.c.Apply(EndpointAnnounced{Announcement: announcement}, f.now)
	for j, other := range f.nodes {
		if j != i {
			n.c.Apply(MemberLearned{Member: loadMember(j, other.service)}, f.now)
		}
	}
}

func (f *loadFleet) after(d clock.Duration, run func()) {
	at := f.now.Add(max(1, d))
	f.events[at] = append(f.events[at], run)
}

// stallFactor is how much longer calls run during a stall.
const stallFactor = 30

// afterRun continues after a call that takes the given time without a stall.
func (f *loadFleet) afterRun(took clock.Duration, run func()) {
	left := took
	at := f.now
	if at < f.stalledFrom {
		done := min(left, f.stalledFrom.Sub(at))
		at, left = at.Add(done), left-done
	}
	if left > 0 && at >= f.stalledFrom && at < f.stalledUntil {
		done := min(left, f.stalledUntil.Sub(at)/stallFactor)
		at, left = at.Add(done*stallFactor), left-done
	}
	f.after(at.Add(left).Sub(f.now), run)
}

func (f *loadFleet) run(until clock.Time) {
	for ; f.now < until; f.now++ {
		for _, run := range f.events[f.now] {
			run()
		}
		delete(f.events, f.now)
		for i, n := range f.nodes {
			if n.killed {
				continue
			}
			if int(f.now)%25 == i%25 {
				f.apply(n, Ticked{})
			}
			if (int(f.now)+13*i)%loadReportPeriod == 0 {
				f.report(i)
			}
		}
		f.arrive()
		if f.now%loadWindow == 0 {
			f.observe()
		}
	}
}

// failure changes the fleet at two times; both changes may be nil.
type failure struct {
	from, until clock.Time
	begin, end  func(f *loadFleet)
}

// runThrough runs the fleet through a failure and until a time after it.
func (f *loadFleet) runThrough(x failure, until clock.Time) {
	f.run(x.from)
	if x.begin != nil {
		x.begin(f)
	}
	f.run(x.until)
	if x.end != nil {
		x.end(f)
	}
	f.run(until)
}

func (f *loadFleet) apply(n *loadNode, e Event) []Effect {
	effects := append([]Effect(nil), n.c.Apply(e, f.now)...)
	for _, e := range effects {
		switch e := e.(type) {
		case Run:
			if run, ok := n.onRun[e.ID]; ok {
				run(e)
			}
		case TurnAway:
			if run, ok := n.onRun[e.ID]; ok {
				run(e)
			}
		}
	}
	return effects
}

// report sends a node's report to the nodes that it reaches.
func (f *loadFleet) report(i int) {
	r := f.nodes[i].c.Report(f.now)
	madeAt := f.now
	r.Member = f.nodes[i].c.Self()
	perRun := map[identifier.Route]float64{"in": 8}
	switch f.nodes[i].service {
	case "portal":
		r.Calls = map[identifier.Route]map[identifier.Route]float64{"obs": perRun}
	case "desk":
		r.Calls = map[identifier.Route]map[identifier.Route]float64{"ord": perRun}
	default:
		r.Calls = map[identifier.Route]map[identifier.Route]float64{"fast": {}, "in": {}}
	}
	if i < f.older {
		r.Arrivals, r.Capacity = nil, 0
	}
	for j, other := range f.nodes {
		if j == i || !f.reaches(f.nodes[i], other) {
			continue
		}
		copies := 1
		if f.duplicate {
			copies = 2
		}
		for range copies {
			transit := clock.Duration(loadReportTransit + f.random.IntN(loadReportTransit))
			if f.duplicate {
				// Reports overtake each other.
				transit += clock.Duration(f.random.IntN(loadReportPeriod))
			}
			f.after(transit, func() {
				if other.killed {
					return
				}
				delivered := r
				delivered.Age = f.now.Sub(madeAt)
				f.apply(other, ReportsReceived{Reports: []exchanger.Report{delivered}})
			})
		}
	}
}

func (f *loadFleet) reaches(a, b *loadNode) bool {
	return f.cut < 0 || (a.domain == f.cut) == (b.domain == f.cut)
}

func (f *loadFleet) pick(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := f.random.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (f *loadFleet) arrive() {
	for kind, k := range loadKinds {
		perMillisecond := f.demand(f.now) * f.capacity * k.share / k.slotTime()
		for x := -math.Log(1 - f.random.Float64()); x < perMillisecond; x -= math.Log(1 - f.random.Float64()) {
			weights := make([]float64, len(f.nodes))
			for i, n := range f.nodes {
				if !n.killed {
					weights[i] = n.weight[kind]
				}
			}
			f.request(f.nodes[f.pick(weights)], kind, f.pick(f.teamWeight[:]))
		}
	}
}

func (f *loadFleet) window() *[3]loadCounts {
	w := int(f.now / loadWindow)
	if f.windows[w] == nil {
		f.windows[w] = &[3]loadCounts{}
	}
	return f.windows[w]
}

func (f *loadFleet) request(n *loadNode, kind, team int) {
	k := loadKinds[kind]
	f.lastID++
	id := f.lastID
	arrived := RequestArrived{ID: id, Host: "h", Path: "/" + k.route + "/x", Key: fmt.Sprint("k", team), Left: k.deadline, Boot: boot}
	counts := &f.window()[kind]
	counts.offered++
	second := int(f.now / loadTeamWindow)
	if f.teams[second] == nil {
		f.teams[second] = &[3][loadTeams]loadCounts{}
	}
	byTeam := &f.teams[second][kind][team]
	byTeam.offered++
	for _, e := range f.apply(n, arrived) {
		switch e := e.(type) {
		case Refuse:
			counts.refused++
			byTeam.refused++
			return
		case Send:
			f.apply(n, RequestClosed{ID: id})
			left, deadline := k.branches, f.now.Add(k.deadline)
			for range k.branches {
				f.call(n, k, e.Rank, k.calls, deadline, func() {
					if left--; left == 0 {
						counts.served++
						byTeam.served++
					}
				})
			}
			return
		}
	}
}

// call makes the calls of one branch in sequence; done is called if all are answered.
func (f *loadFleet) call(from *loadNode, k loadKind, rank identifier.Rank, calls int, deadline clock.Time, done func()) {
	if calls == 0 {
		done()
		return
	}
	var target *loadNode
	for range 2 {
		n := f.nodes[3*f.random.IntN(loadEndpoints)]
		for !f.reaches(from, n) {
			n = f.nodes[3*f.random.IntN(loadEndpoints)]
		}
		if target == nil || n.c.limiter.Queued()+n.c.limiter.InFlight() < target.c.limiter.Queued()+target.c.limiter.InFlight() {
			target = n
		}
	}
	f.lastID++
	id, process := f.lastID, target.c
	nested, path := k.service != "clock", "/in/x"
	if !nested {
		path = "/fast/x"
	}
	target.onRun[id] = func(e Effect) {
		delete(target.onRun, id)
		if _, ok := e.(Run); !ok {
			return
		}
		took := clock.Duration(float64(k.runTime) * (0.5 + f.random.Float64()))
		f.afterRun(took, func() {
			if target.c == process && !target.killed {
				f.apply(target, DeliveryEnded{ID: id, Outcome: Answered})
				f.call(from, k, rank, calls-1, deadline, done)
			}
		})
	}
	f.apply(target, DeliveryArrived{
		ID: id, Host: "h", Path: path, Endpoint: target.c.Self().Endpoint, Rank: rank, Nested: nested, Deadline: deadline,
		QueueTimeout: k.timeout, Due: f.now + 300,
	})
}
