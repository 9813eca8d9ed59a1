package conductor

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/detector"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// A fleet of real conductors lives in one loop with played time: a store that goes away, keys that are withdrawn, nodes
// that are killed, frozen and started again knowing nothing, endpoints that leave, lose answers and decline. What must
// hold is judged from what endpoints ran and callers were told, not from what the nodes say of themselves.

const (
	fuzzNodes  = 5
	fuzzRevoke = 2000
	fuzzLength = 12000
	// fuzzRate is divided among the nodes, fuzzPooled kept in one bucket.
	fuzzRate    = 40.0
	fuzzPooled  = 15.0
	fuzzWindow  = 5000
	fuzzLatency = 2
	// fuzzPatience is how long a node waits for a token.
	fuzzPatience = 100
)

type scheduled struct {
	at    clock.Time
	order int
	run   func()
}

type agenda []scheduled

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(scheduled)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// fuzzNode is a VM: its conductor dies and is made anew, its endpoint lives on.
type fuzzNode struct {
	c *Conductor
	// start is when the process started; its clock counts from there, less the time it was frozen.
	life       int
	frozen     bool
	up         bool
	leaving    bool
	ackLeaving clock.Time
	sequence   int64
	// waiting holds what goes on when a held delivery is decided, aborts what ends an attempt under way.
	waiting map[CallID]func(Effect)
	aborts  map[CallID]func()
	place   fuzzPlace
}

// told is one request as its caller and the endpoints saw it.
type told struct {
	key        string
	sentAt     clock.Time
	idempotent bool
	runs       int
	refused    int
}

// failer is a test, with played seeds or given ones.
type failer interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

type fleetWorld struct {
	t      failer
	random *rand.Rand
	now    clock.Time
	agenda agenda
	order  int
	nodes  []*fuzzNode
	away   bool
	// version in the store, and since when each key is withdrawn.
	version   identifier.Version
	withdrawn map[string]clock.Time
	requests  map[CallID]*told
	lastID    CallID
	ran       []clock.Time
	// rate is the team's, with as much burst.
	rate float64
	// places tells that endpoints crash and turn cold, and that failure domains are evacuated.
	places    bool
	evacuated map[identifier.FailureDomain]bool
}

func (w *fleetWorld) after(d clock.Duration, run func()) {
	w.order++
	heap.Push(&w.agenda, scheduled{at: w.now.Add(d), order: w.order, run: run})
}

func (w *fleetWorld) member(i int) exchanger.Member {
	return exchanger.Member{
		Node: identifier.Node(fmt.Sprintf("n%d", i)), DeliveryAddress: fmt.Sprint(i), PeerAddress: "p", Domain: w.domainOf(i),
		Service: "portal", Incarnation: int64(w.now) + 1,
	}
}

func (w *fleetWorld) boot(i int) {
	n := w.nodes[i]
	n.life++
	n.up, n.frozen = true, false
	n.waiting = map[CallID]func(Effect){}
	n.aborts = map[CallID]func(){}
	n.c = New(Options{
		Self: w.member(i),
		Bounds: Bounds{
			Revoke: fuzzRevoke, InForce: 2000, RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindow: 10000,
			Rate: apportioner.Tolerance{Window: 5, Part: 0.1, Requests: 20},
			Cold: w.coldBound(),
		},
		EndpointAddress: "e",
		Random:          rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	}, w.now)
	n.place.knowsEvacuated = false
	life := n.life
	w.every(i, life, 300, func() { w.poll(i) })
	w.every(i, life, 500, func() { w.report(i) })
	w.every(i, life, 25, func() { w.apply(i, 0, Ticked{}) })
	w.every(i, life, 700, func() { w.beat(i) })
}

func (w *fleetWorld) every(i, life int, period clock.Duration, run func()) {
	var again func()
	again = func() {
		n := w.nodes[i]
		if n.life != life || !n.up {
			return
		}
		if !n.frozen {
			run()
		}
		w.after(period, again)
	}
	w.after(clock.Duration(w.random.Int64N(int64(period))), again)
}

func (w *fleetWorld) configuration() matcher.Configuration {
	var keys []string
	for _, key := range []string{"k0", "k1", "k2"} {
		if _, gone := w.withdrawn[key]; !gone {
			keys = append(keys, key)
		}
	}
	idempotent, order := route("obs", "portal", matcher.Idempotent), route("ord", "portal", matcher.NonIdempotent)
	idempotent.Timeout, order.Timeout = 800, 800
	return matcher.Configuration{
		Version:  w.version,
		Routes:   []matcher.Route{idempotent, order},
		Services: []matcher.Service{{Name: "portal", ColdRate: fuzzColdRate, ColdStart: fuzzColdStart}},
		Teams:    []matcher.Team{{Name: "parish", Keys: keys, Rate: w.rate, Burst: w.rate}},
	}
}

// poll asks the store; the answer may take long, and proves only what held when it was asked for.
func (w *fleetWorld) poll(i int) {
	if w.away {
		return
	}
	n, asked := w.nodes[i], w.now
	life := n.life
	config, evacuated := w.configuration(), w.evacuations()
	w.after(clock.Duration(w.random.Int64N(400)), func() {
		if n.life != life || !n.up || n.frozen {
			return
		}
		m, err := matcher.New(config)
		if err != nil {
			w.t.Fatal(err)
		}
		w.apply(i, 0, ConfigurationRead{Matcher: m, At: w.now})
		w.apply(i, 0, ConfigurationProved{Version: config.Version, AsOf: asked})
		w.tellEvacuated(i, evacuated)
	})
}

func (w *fleetWorld) report(i int) {
	r := w.nodes[i].c.Report(w.now)
	version, asOf, proved := w.nodes[i].c.ProvedAt()
	for j, other := range w.nodes {
		if j != i && other.up && !other.frozen {
			w.apply(j, 0, ReportsHeard{Reports: []exchanger.Report{r}})
			if proved {
				w.apply(j, 0, ProofHeard{Version: version, AsOf: asOf})
			}
		}
	}
}

func (w *fleetWorld) beat(i int) {
	n := w.nodes[i]
	if n.place.down {
		return
	}
	n.sequence++
	w.apply(i, 0, EndpointAnnounced{Announcement: registrar.Announcement{
		Endpoint: identifier.Endpoint(fmt.Sprintf("i%d", i)), Service: "portal", Address: "e", Slots: 4, Started: 1 + n.place.restarts,
		Sequence: n.sequence, Leaving: n.leaving, ColdLeft: n.place.coldLeft(w.now),
	}})
	if n.leaving && n.ackLeaving == 0 {
		n.ackLeaving = w.now
	}
}

// apply tells a node of an event, hands effects on other requests on, and returns the one on the given request.
func (w *fleetWorld) apply(i int, own CallID, e Event) Effect {
	n := w.nodes[i]
	var mine Effect
	for _, effect := range append([]Effect(nil), n.c.Apply(e, w.now)...) {
		id := CallID(0)
		switch e := effect.(type) {
		case Publish:
			for j := range w.nodes {
				if j != i && w.nodes[j].up && !w.nodes[j].frozen {
					w.apply(j, 0, MemberLearned{Member: e.Member})
				}
			}
			continue
		case Probe:
			w.probe(i, e)
			continue
		case Abort:
			if abort, ok := n.aborts[e.ID]; ok {
				w.after(0, abort)
			}
			continue
		case Run:
			id = e.ID
		case TurnAway:
			id = e.ID
		case Hold:
			id = e.ID
		case Send:
			id = e.ID
		case Draw:
			id = e.ID
		case Give:
			id = e.ID
		case Refuse:
			id = e.ID
		case Reply:
			id = e.ID
		}
		if id == own {
			mine = effect
			continue
		}
		if wake, ok := n.waiting[id]; ok {
			delete(n.waiting, id)
			wake(effect)
		}
	}
	return mine
}

func (w *fleetWorld) send(i int, key string, idempotent bool) {
	n := w.nodes[i]
	if !n.up || n.frozen {
		return
	}
	w.lastID++
	id := w.lastID
	path := "/ord/x"
	if idempotent {
		path = "/obs/x"
	}
	w.requests[id] = &told{key: key, sentAt: w.now, idempotent: idempotent}
	w.follow(i, n.life, id, w.apply(i, id, RequestArrived{ID: id, Host: "h", Path: path, Key: key, Left: 900, Boot: w.now}))
}

// follow performs what a node decided about a request of its own.
func (w *fleetWorld) follow(i, life int, id CallID, e Effect) {
	n := w.nodes[i]
	switch e := e.(type) {
	case Refuse:
		if e.Status == 503 || e.Status == 429 {
			w.requests[id].refused++
		}
	case Reply:
		w.apply(i, 0, RequestClosed{ID: id})
	case Draw:
		w.draw(e, func(drawn TokenDrawn) {
			if n.life == life && n.up && !n.frozen {
				w.follow(i, life, id, w.apply(i, id, drawn))
			}
		})
	case Send:
		ended := false
		end := func(o Outcome) {
			if ended || n.life != life || !n.up {
				return
			}
			ended = true
			delete(n.aborts, id)
			next := w.apply(i, id, AttemptEnded{ID: id, Outcome: o, Status: 200, Replayable: true})
			w.follow(i, life, id, next)
		}
		n.aborts[id] = func() { end(Broken) }
		w.after(fuzzLatency, func() { w.deliver(e, id, end) })
	}
}

// probe opens a connection to another node: one that is down refuses it, one that is frozen says nothing.
func (w *fleetWorld) probe(i int, p Probe) {
	life := w.nodes[i].life
	wait, reached := clock.Duration(fuzzLatency), true
	if w.nodes[w.nodeOf(p.Node)].frozen {
		wait, reached = detector.Patience, false
	}
	w.after(wait, func() {
		if n := w.nodes[i]; n.life == life && n.up && !n.frozen {
			w.apply(i, 0, Probed{Node: p.Node, Reached: reached})
		}
	})
}

// draw asks another node for a token; one that is down refuses the connection, one that is frozen says nothing.
func (w *fleetWorld) draw(d Draw, done func(TokenDrawn)) {
	failed := TokenDrawn{ID: d.ID, Node: d.Node}
	w.after(fuzzLatency, func() {
		to := w.nodeOf(d.Node)
		switch n := w.nodes[to]; {
		case !n.up:
			done(failed)
		case n.frozen:
			w.after(fuzzPatience, func() { done(failed) })
		default:
			w.lastID++
			g, ok := w.apply(to, w.lastID, TokenAsked{ID: w.lastID, Team: d.Team, Back: d.Back}).(Give)
			w.after(fuzzLatency, func() {
				done(TokenDrawn{ID: d.ID, Node: d.Node, Answered: ok && g.Known, Grant: g.Grant})
			})
		}
	})
}

func (w *fleetWorld) nodeOf(name identifier.Node) (i int) {
	if _, err := fmt.Sscanf(string(name), "n%d", &i); err != nil {
		w.t.Fatal(err)
	}
	return i
}

func (w *fleetWorld) deliver(s Send, id CallID, done func(Outcome)) {
	to := w.nodeOf(s.Node)
	n := w.nodes[to]
	if !n.up {
		w.after(fuzzLatency, func() { done(Unreached) })
		return
	}
	if n.frozen {
		w.after(s.Deadline.Sub(w.now), func() { done(Late) })
		return
	}
	life := n.life
	w.lastID++
	local := w.lastID
	rateUnchecked := identifier.Team("")
	if s.RateUnchecked {
		rateUnchecked = s.Team
	}
	var decided func(Effect)
	decided = func(e Effect) {
		switch e := e.(type) {
		case TurnAway:
			w.after(fuzzLatency, func() { done(e.Outcome) })
		case Run:
			w.run(to, life, id, local, s, done)
		case Hold:
			n.waiting[local] = decided
		}
	}
	decided(w.apply(to, local, DeliveryArrived{
		ID: local, Endpoint: s.Endpoint, Rank: s.Rank, Deadline: s.Deadline, QueueTimeout: s.QueueTimeout, Due: s.Due, Again: s.Again,
		RateUnchecked: rateUnchecked,
	}))
}

// run has the endpoint run a request, decline it, or lose its answer.
func (w *fleetWorld) run(to, life int, id, local CallID, s Send, done func(Outcome)) {
	n := w.nodes[to]
	if n.ackLeaving != 0 && w.now > n.ackLeaving {
		w.t.Fatalf("%d: endpoint i%d got request %d though it said at %d that it leaves", w.now, to, id, n.ackLeaving)
	}
	if !w.reachesEndpoint(to, local, done) {
		return
	}
	outcome := Answered
	switch w.random.IntN(20) {
	case 0:
		outcome = Declined
	case 1:
		outcome = Broken
	}
	if outcome != Declined {
		w.judgeRun(id)
	}
	work := clock.Duration(20 + w.random.Int64N(80))
	if outcome == Declined {
		work = 1
	}
	w.after(work, func() {
		if n.life != life || !n.up {
			done(Broken)
			return
		}
		w.apply(to, local, DeliveryEnded{ID: local, Outcome: outcome})
		if s.Deadline < w.now {
			outcome = Late
		}
		w.after(fuzzLatency, func() { done(outcome) })
	})
}

func (w *fleetWorld) judgeRun(id CallID) {
	r := w.requests[id]
	r.runs++
	w.ran = append(w.ran, r.sentAt)
	if r.refused > 0 {
		w.t.Fatalf("%d: request %d runs after its caller was told that it has not and will not", w.now, id)
	}
	if r.runs > 1 && !r.idempotent {
		w.t.Fatalf("%d: request %d must run at most once and runs again", w.now, id)
	}
	if gone, ok := w.withdrawn[r.key]; ok && r.sentAt > gone.Add(fuzzRevoke) {
		w.t.Fatalf("%d: request %d sent at %d runs with a key that was withdrawn at %d", w.now, id, r.sentAt, gone)
	}
}

func (w *fleetWorld) trouble() {
	i := w.random.IntN(len(w.nodes))
	n := w.nodes[i]
	kinds := 8
	if w.places {
		kinds = 11
	}
	switch w.random.IntN(kinds) {
	case 0:
		w.away = !w.away
	case 1:
		key := fmt.Sprintf("k%d", w.random.IntN(2))
		if _, gone := w.withdrawn[key]; !gone && !w.away {
			w.withdrawn[key] = w.now
			w.version++
		}
	case 2:
		w.kill(i)
	case 3:
		n.frozen = true
		life := n.life
		w.after(clock.Duration(w.random.Int64N(4000)), func() {
			if n.life == life {
				n.frozen = false
				w.catchUp(i)
			}
		})
	case 4:
		if i < 2 {
			n.leaving = true
		}
	case 5:
		for j := range w.nodes {
			w.kill(j)
		}
	case 8:
		w.crashEndpoint(i)
	case 9:
		for j := range w.nodes {
			w.crashEndpoint(j)
		}
	case 10:
		w.evacuateOrTakeBack(w.domainOf(i))
	}
}

func (w *fleetWorld) kill(i int) {
	n := w.nodes[i]
	if !n.up {
		return
	}
	n.up = false
	w.after(clock.Duration(500+w.random.Int64N(1000)), func() { w.boot(i) })
}

// Whatever happens to the fleet: an order runs at most once, a refusal is true, a withdrawn key is dead in time at every
// node, an endpoint that leaves gets nothing more, and no team gets more than its rate and burst with the tolerance.
func TestFuzzFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playFleet(t, fleetDay{
			seed:      rapid.Uint64().Draw(t, "seed"),
			rate:      rapid.SampledFrom([]float64{fuzzRate, fuzzPooled}).Draw(t, "rate"),
			perSecond: rapid.IntRange(20, 400).Draw(t, "perSecond"),
			troubles:  rapid.IntRange(0, 12).Draw(t, "troubles"),
		})
	})
}

// The same while endpoints crash and come back cold, and failure domains are evacuated and taken back: a cold endpoint gets
// what it bears, and one whose node knows that its domain is evacuated gets nothing.
func TestFuzzFleetOfPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		playFleet(t, fleetDay{
			seed:      rapid.Uint64().Draw(t, "seed"),
			rate:      fuzzPlacesRate,
			perSecond: rapid.IntRange(100, 800).Draw(t, "perSecond"),
			troubles:  rapid.IntRange(0, 16).Draw(t, "troubles"),
			places:    true,
		})
	})
}

// Days that broke a promise once.
func TestFleetDays(t *testing.T) {
	tests := map[string]fleetDay{
		// The nodes with the bucket are killed several times within one window, and each bucket that is taken over grants
		// requests of its own: other teams wait behind one that gets more than it bought.
		"buckets taken over again and again": {seed: 0x27f, rate: fuzzPooled, perSecond: 223, troubles: 8},
	}
	for name, day := range tests {
		t.Run(name, func(t *testing.T) { playFleet(t, day) })
	}
}

// fleetDay is what a played day hangs on.
type fleetDay struct {
	seed                uint64
	rate                float64
	perSecond, troubles int
	places              bool
}

func playFleet(t failer, d fleetDay) {
	w := &fleetWorld{
		t:         t,
		random:    rand.New(rand.NewPCG(d.seed, 7)),
		version:   1,
		withdrawn: map[string]clock.Time{},
		requests:  map[CallID]*told{},
		rate:      d.rate,
		places:    d.places,
		evacuated: map[identifier.FailureDomain]bool{},
	}
	for range fuzzNodes {
		w.nodes = append(w.nodes, &fuzzNode{})
	}
	for i := range w.nodes {
		w.boot(i)
	}
	for range d.troubles {
		w.after(clock.Duration(w.random.Int64N(fuzzLength)), w.trouble)
	}
	for at := clock.Duration(0); at < fuzzLength; at += 1 + clock.Duration(w.random.Int64N(int64(2000/d.perSecond)+1)) {
		w.after(at, func() {
			w.send(w.random.IntN(len(w.nodes)), fmt.Sprintf("k%d", w.random.IntN(3)), w.random.IntN(2) == 0)
		})
	}
	for len(w.agenda) > 0 && w.now < fuzzLength {
		next := heap.Pop(&w.agenda).(scheduled)
		w.now = next.at
		next.run()
	}
	w.judgeRate()
	w.judgeCold()
}

func (w *fleetWorld) judgeRate() {
	most := (w.rate*fuzzWindow/1000+w.rate)*1.1 + 20
	for first := range w.ran {
		count := 0
		for _, at := range w.ran {
			if at >= w.ran[first] && at < w.ran[first].Add(fuzzWindow) {
				count++
			}
		}
		if float64(count) > most {
			w.t.Fatalf("%d requests of a team were sent and run in %d ms from %d, want at most %.0f", count, fuzzWindow, w.ran[first], most)
		}
	}
}
