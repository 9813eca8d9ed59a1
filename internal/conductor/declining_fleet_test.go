package conductor

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// A fleet of conductors whose leaf service declines 55 of 100 calls at random for some seconds. Portal requests call the
// leaf four times in sequence, desk requests eight times; others enter at the leaf.

const (
	declineStart, declineEnd = clock.Time(10_000), clock.Time(18_500)
	declinePart              = 0.55
	portalNodes, deskNodes   = 6, 3
	leafNodes                = 4
	declineNodes             = portalNodes + deskNodes + leafNodes
	// Root requests a second.
	portalRate, deskRate, leafRate = 150.0, 50.0, 70.0
	declineLatency                 = 1 * clock.Millisecond
)

// decliningFleet is the simulated fleet and what its callers and endpoints saw.
type decliningFleet struct {
	t      *testing.T
	random *rand.Rand
	queue  eventQueue
	now    clock.Time
	order  int
	lastID CallID
	nodes  []*decliningNode
	calls  map[CallID]*decliningCall
	// deliveries holds what is to be done with the end of each delivery.
	deliveries map[CallID]func(Effect)
	// present makes all nodes behave by the rules for services that do not decline.
	present bool
	// declined is the part of the calls that the leaf declines between two times.
	declined                    float64
	declinesFrom, declinesUntil clock.Time
	served                      map[string]*classResult
	// offers are the arrivals at endpoints of the leaf, in the order of time.
	offers []offer
	// wasted is the time of runs at portal and desk for requests that then failed, useful that for the others.
	wasted, useful clock.Duration
	// maxEndpoints is the largest number of endpoints that one request reached.
	maxEndpoints int
}

type decliningNode struct {
	c       *Conductor
	member  exchanger.Member
	started int
	down    bool
	// side is the side of a partition; silent nodes send no reports, older ones report no declined calls.
	side          int
	silent, older bool
}

type decliningCall struct {
	node      *decliningNode
	path      string
	endpoints []identifier.Endpoint
	offered   int
	// answeredOK is set if the last answer was no error.
	answeredOK bool
	done       func(ok bool)
}

type offer struct {
	at    clock.Time
	first bool
}

// classResult counts the root requests of a class that arrived in the decline.
type classResult struct {
	asked, ok, refused int
}

func newDecliningFleet(t *testing.T, present bool, seed uint64) *decliningFleet {
	f := &decliningFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 6)), present: present, declined: declinePart,
		declinesFrom: declineStart, declinesUntil: declineEnd, calls: map[CallID]*decliningCall{},
		deliveries: map[CallID]func(Effect){}, served: map[string]*classResult{},
	}
	for i := range declineNodes {
		service := identifier.Service("portal")
		if i >= portalNodes {
			service = "desk"
		}
		if i >= portalNodes+deskNodes {
			service = "clock"
		}
		n := &decliningNode{member: peer(identifier.Node(fmt.Sprintf("n%02d", i)), service)}
		n.member.Slots = 200
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start starts a node without state.
func (f *decliningFleet) start(n *decliningNode) {
	n.started++
	n.down = false
	n.member.Incarnation = int64(n.started)
	m := n.member
	m.State, m.Endpoint, m.Slots = exchanger.Absent, "", 0
	n.c = New(Options{
		Self:            m,
		Bounds:          newConductor("portal").options.Bounds,
		EndpointAddress: "10.0.0.1:80",
		Random:          rand.New(rand.NewPCG(uint64(len(n.member.Node)), f.random.Uint64())),
	}, f.now)
	inner := route("in", "clock", matcher.Idempotent)
	inner.Public, inner.Objective = true, 300
	order := route("ord", "desk", matcher.NonIdempotent)
	config := configuration(1, route("obs", "portal", matcher.Idempotent), order, route("fast", "clock", matcher.Idempotent), inner)
	config.Teams = append(config.Teams, matcher.Team{Name: "low", Keys: []string{"l"}, HasRank: true, Rank: 1})
	configure(f.t, n.c, config, f.now)
	n.c.Apply(EndpointAnnounced{Announcement: registrar.Announcement{
		Endpoint: n.member.Endpoint, Service: n.member.Service, Address: "10.0.0.1:80", Slots: int64(n.member.Slots), Started: 1, Sequence: 1,
	}}, f.now)
	for _, o := range f.nodes {
		if o != n {
			n.c.Apply(MemberLearned{Member: o.member}, f.now)
			o.c.Apply(MemberLearned{Member: n.c.Self()}, f.now)
		}
	}
}

func (f *decliningFleet) after(d clock.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, scheduled{at: f.now.Add(d), order: f.order, run: run})
}

// reaches reports whether messages pass between two nodes.
func (f *decliningFleet) reaches(a, b *decliningNode) bool {
	return !a.down && !b.down && a.side == b.side
}

func (f *decliningFleet) simulate(faults map[clock.Time]func(f *decliningFleet)) {
	for _, n := range f.nodes {
		f.every(25*clock.Millisecond, func() { f.apply(n, Ticked{}) })
		f.every(200*clock.Millisecond, func() { f.report(n) })
	}
	f.arrivals(portalRate, "/obs/x")
	f.arrivals(deskRate, "/ord/x")
	f.arrivals(leafRate, "/fast/x")
	for at, fault := range faults {
		f.after(clock.Duration(at), func() { fault(f) })
	}
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(scheduled)
		if e.at > f.declinesUntil.Add(clock.Second) {
			break
		}
		f.now = e.at
		e.run()
	}
}

func (f *decliningFleet) every(period clock.Duration, run func()) {
	f.after(clock.Duration(f.random.Int64N(int64(period))), func() {
		run()
		f.after(period, func() { f.repeat(period, run) })
	})
}

func (f *decliningFleet) repeat(period clock.Duration, run func()) {
	run()
	f.after(period, func() { f.repeat(period, run) })
}

func (f *decliningFleet) report(n *decliningNode) {
	if n.down {
		return
	}
	if f.present || n.older {
		n.c.offers = offerCounts{}
	}
	r := n.c.Report(f.now)
	if n.older {
		r.Arrivals = nil
	}
	for _, o := range f.nodes {
		if o != n && !n.silent && f.reaches(n, o) {
			f.after(20, func() {
				if !o.down {
					f.apply(o, ReportsReceived{Reports: []exchanger.Report{r}})
				}
			})
		}
	}
}

func (f *decliningFleet) arrivals(perSecond float64, path string) {
	gap := clock.Duration(f.random.ExpFloat64() * float64(clock.Second) / perSecond)
	f.after(gap, func() {
		f.root(path)
		f.arrivals(perSecond, path)
	})
}

func (f *decliningFleet) root(path string) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	for n.down {
		n = f.nodes[f.random.IntN(len(f.nodes))]
	}
	key, class := "k", "first"
	if f.random.IntN(2) == 0 {
		key, class = "l", "second"
	}
	result := &classResult{}
	if f.now >= f.declinesFrom && f.now < f.declinesUntil {
		name := path + " " + class
		if f.served[name] == nil {
			f.served[name] = result
		}
		result = f.served[name]
	}
	result.asked++
	f.call(n, RequestArrived{Host: "h", Path: path, Key: key, Left: 5000}, func(ok bool) {
		if ok {
			result.ok++
		}
	}, func() { result.refused++ })
}

// call makes a request at a node; refused is called if it is refused before any attempt.
func (f *decliningFleet) call(n *decliningNode, e RequestArrived, done func(ok bool), refused func()) {
	f.lastID++
	e.ID, e.Boot = f.lastID, boot
	c := &decliningCall{node: n, path: e.Path, done: done}
	f.calls[e.ID] = c
	n.c.Apply(ConfigurationProved{Version: 1, AsOf: boot}, f.now)
	f.apply(n, e)
	if _, open := f.calls[e.ID]; !open && len(c.endpoints) == 0 {
		refused()
	}
}

func (f *decliningFleet) apply(n *decliningNode, e Event) {
	if n.down {
		return
	}
	for _, effect := range slices.Clone(n.c.Apply(e, f.now)) {
		switch e := effect.(type) {
		case Send:
			f.send(n, e)
		case Reply:
			f.end(n, e.ID, f.calls[e.ID].answeredOK)
		case Refuse:
			f.end(n, e.ID, false)
		case Run:
			f.deliveries[e.ID](e)
		case TurnAway:
			f.deliveries[e.ID](e)
		}
	}
}

func (f *decliningFleet) end(n *decliningNode, id CallID, ok bool) {
	c, open := f.calls[id]
	if !open {
		return
	}
	delete(f.calls, id)
	c.done(ok)
	f.after(0, func() { f.apply(n, RequestClosed{ID: id}) })
}

func (f *decliningFleet) send(n *decliningNode, s Send) {
	c := f.calls[s.ID]
	target := f.nodes[slices.IndexFunc(f.nodes, func(o *decliningNode) bool { return o.member.Endpoint == s.Endpoint })]
	started := n.started
	answer := func(o Outcome, ok bool) {
		f.after(declineLatency, func() {
			status := 200
			if !ok {
				status = 503
			}
			if n.started == started {
				c.answeredOK = ok
				f.apply(n, AttemptEnded{ID: s.ID, Outcome: o, Status: status, Headroom: 100, Replayable: true})
			}
		})
	}
	f.after(declineLatency, func() {
		if !f.reaches(n, target) {
			answer(Unreached, false)
			return
		}
		f.deliver(c, s, target, answer)
	})
}

func (f *decliningFleet) deliver(c *decliningCall, s Send, target *decliningNode, answer func(Outcome, bool)) {
	f.lastID++
	id := f.lastID
	request := identifier.Request(fmt.Sprint("r", s.ID))
	generation := target.started
	f.deliveries[id] = func(e Effect) {
		if away, ok := e.(TurnAway); ok {
			answer(away.Outcome, false)
			return
		}
		ended := func(o Outcome, ok bool) {
			if target.started != generation || target.down {
				answer(Broken, false)
				return
			}
			f.apply(target, DeliveryEnded{ID: id, Outcome: o})
			answer(o, ok)
		}
		f.run(c, s, target, request, ended)
	}
	f.apply(target, DeliveryArrived{
		ID: id, Request: request, Host: "h", Path: c.path, Endpoint: s.Endpoint, Rank: s.Rank, Deadline: s.Deadline,
		QueueTimeout: s.QueueTimeout, Due: s.Due, Nested: s.Nested, ArrivalCounted: s.ArrivalCounted,
	})
}

// run runs a request at the endpoint of a node.
func (f *decliningFleet) run(c *decliningCall, s Send, n *decliningNode, request identifier.Request, ended func(Outcome, bool)) {
	if !slices.Contains(c.endpoints, s.Endpoint) {
		c.endpoints = append(c.endpoints, s.Endpoint)
		f.maxEndpoints = max(f.maxEndpoints, len(c.endpoints))
	}
	calls := map[identifier.Service]int{"portal": 4, "desk": 8}[n.member.Service]
	if calls > 0 {
		f.chain(n, request, calls, f.now, ended)
		return
	}
	f.offers = append(f.offers, offer{at: f.now, first: c.offered == 0})
	c.offered++
	if f.now >= f.declinesFrom && f.now < f.declinesUntil && f.random.Float64() < f.declined {
		f.after(declineLatency, func() { ended(Declined, false) })
		return
	}
	f.after(10, func() { ended(Answered, true) })
}

// chain makes nested calls in sequence until one fails.
func (f *decliningFleet) chain(n *decliningNode, request identifier.Request, left int, started clock.Time, ended func(Outcome, bool)) {
	if left == 0 {
		f.useful += f.now.Sub(started)
		ended(Answered, true)
		return
	}
	f.call(n, RequestArrived{Host: "h", Path: "/in/x", Parent: request, Left: 700}, func(ok bool) {
		if !ok {
			f.wasted += f.now.Sub(started)
			ended(Answered, false)
			return
		}
		f.chain(n, request, left-1, started, ended)
	}, func() {})
}

// overrun returns by how much the retries at the leaf exceed the bound in the worst window.
func (f *decliningFleet) overrun() float64 {
	const step, steps = 100, 100
	var first, again [250]float64
	for _, o := range f.offers {
		if o.first {
			first[o.at/step]++
		} else {
			again[o.at/step]++
		}
	}
	sum := func(counts []float64, from int) (total float64) {
		for i := max(0, from); i < min(len(counts), from+steps); i++ {
			total += counts[i]
		}
		return total
	}
	worst := -1000.0
	for from := range first {
		most := max(sum(first[:], from), sum(first[:], from-steps/2), sum(first[:], from-steps))
		worst = max(worst, sum(again[:], from)-0.2*most-50)
	}
	return worst
}

// completed returns the completed requests of some classes.
func (f *decliningFleet) completed(names ...string) (ok int) {
	for _, name := range names {
		if r := f.served[name]; r != nil {
			ok += r.ok
		}
	}
	return ok
}

func (f *decliningFleet) String() string {
	s := ""
	for _, name := range []string{"/fast/x first", "/fast/x second", "/obs/x first", "/obs/x second", "/ord/x first", "/ord/x second"} {
		if r := f.served[name]; r != nil {
			s += fmt.Sprintf("%s: %d of %d, %d refused; ", name, r.ok, r.asked, r.refused)
		}
	}
	return s + fmt.Sprintf("wasted %d ms, useful %d ms, overrun %.0f", f.wasted, f.useful, f.overrun())
}
