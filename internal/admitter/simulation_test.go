// This file simulates the gate, the threshold cache, the chain and the limiter together under load, in steps of a
// millisecond: random arrivals from a seed at entry nodes, a front service with one or more endpoints, and a deep
// service that some routes call. Endpoints are queues in front of slots; there are no processes and no network.
//
// Example: run(surge(), 1).good holds the number of successful answers in each 100 ms.

package admitter_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

const (
	networkDelay    = 3 * clock.Millisecond
	timerRingSize   = 1 << 14
	goodputInterval = 100 * clock.Millisecond
	front           = identifier.Service("front")
	deep            = identifier.Service("deep")
	plainRoute      = admitter.Route(1)
	nestingRoute    = admitter.Route(2)
)

// scenario describes a simulated run. load is the arrival rate per second and deepSlowdown the factor of the deep
// service's working time, both as functions of time; times of work are means in milliseconds.
type scenario struct {
	seconds, retries    int
	frontSlots          int
	deepSlots           int
	frontWork, deepWork float64
	nestingPart         float64
	callerTimeout       clock.Duration
	load                func(clock.Time) float64
	deepSlowdown        func(clock.Time) float64
	gate                admitter.GateOptions
	limit               limiter.Options
	noGate              bool
	// entries is the number of entry nodes, fronts and deeps the numbers of endpoints of the services; default 1.
	entries, fronts, deeps int
	// firstFrontSlowdown is the factor of the first front endpoint's working time; default 1.
	firstFrontSlowdown float64
	// rank assigns a rank to a call; nil draws priorities: 5% urgent, 15% high, 60% normal, 20% low.
	rank func(*rand.Rand, clock.Time) (identifier.Rank, origin)
	// admitted is called for each call that passed the gate of a front endpoint.
	admitted func(origin, clock.Time)
}

// result holds what callers saw: good and sent count successful answers and requests in each goodputInterval. wasted
// counts calls that ran and failed.
type result struct {
	good, sent               []float64
	urgentSent, urgentGood   float64
	servedByTeam, sentByTeam map[int]float64
	delays                   []float64
	wasted, attempts         float64
}

// origin is the team that sent a call and the entry node that received it.
type origin struct {
	team, node int
}

type request struct {
	rank      identifier.Rank
	route     admitter.Route
	origin    origin
	deadline  clock.Time
	attempts  int
	arrivedAt clock.Time
}

// entry is a node in its role of sending calls to endpoints, for a caller or for its backend server's nested calls.
type entry struct {
	thresholds *admitter.ThresholdCache
	router     *router.Router
	damper     *retrier.Damper
}

// hop is a delivery node with its backend server.
type hop struct {
	w       *simulation
	service identifier.Service
	gate    *admitter.Gate
	limit   *limiter.Limiter
	work    func() float64
	open    map[limiter.CallID]*visit
	next    limiter.CallID
	ran     func(*visit)
	exit    entry
	chain   *admitter.Chain
	out     []limiter.Verdict
}

// visit is one attempt of a request at one endpoint.
type visit struct {
	request *request
	hop     *hop
	id      limiter.CallID
	answer  func(ok, ran bool)
}

type simulation struct {
	scenario
	result
	rand    *rand.Rand
	now     clock.Time
	timers  [timerRingSize][]func()
	entries []entry
	byID    map[identifier.Endpoint]*hop
	hops    []*hop
}

func (w *simulation) after(d clock.Duration, f func()) {
	at := w.now.Add(max(1, min(d, timerRingSize-1))) % timerRingSize
	w.timers[at] = append(w.timers[at], f)
}

func run(s scenario, seed uint64) result {
	w := &simulation{scenario: s, rand: rand.New(rand.NewPCG(seed, 1))}
	w.servedByTeam, w.sentByTeam = map[int]float64{}, map[int]float64{}
	w.good = make([]float64, s.seconds*10)
	w.sent = make([]float64, s.seconds*10)
	w.build()
	for ; w.now < clock.Time(s.seconds*1000); w.now++ {
		due := w.timers[w.now%timerRingSize]
		w.timers[w.now%timerRingSize] = nil
		for _, f := range due {
			f()
		}
		for range w.poisson(s.load(w.now) / 1000) {
			w.arrive()
		}
		for _, h := range w.hops {
			h.tick()
		}
	}
	return w.result
}

func (w *simulation) build() {
	w.byID = map[identifier.Endpoint]*hop{}
	nodes := make([]entry, max(1, w.scenario.entries))
	for i := range nodes {
		nodes[i] = w.newEntry()
	}
	w.entries = nodes
	for i := range max(1, w.fronts) {
		factor := 1.0
		if i == 0 {
			factor = max(1, w.firstFrontSlowdown)
		}
		h := w.addHop(front, w.frontSlots/max(1, w.fronts), nodes, func() float64 { return w.erlang() * w.frontWork * factor })
		h.ran = w.nest
		h.exit = w.newEntry()
	}
	exits := make([]entry, 0, len(w.hops))
	for _, h := range w.hops {
		exits = append(exits, h.exit)
	}
	for range max(1, w.deeps) {
		slots := max(1, w.deepSlots/max(1, w.deeps))
		h := w.addHop(deep, slots, exits, func() float64 { return w.erlang() * w.deepWork * w.deepSlowdown(w.now) })
		h.ran = func(v *visit) { v.finish(true) }
	}
}

func (w *simulation) newEntry() entry {
	return entry{
		thresholds: admitter.NewThresholdCache(admitter.ThresholdCacheOptions{}),
		router:     router.New(router.Options{Rand: w.rand}),
		damper:     retrier.NewDamper(retrier.DamperOptions{}),
	}
}

// addHop adds an endpoint of a service and registers it with the routers of the nodes that call the service.
func (w *simulation) addHop(service identifier.Service, slots int, callers []entry, work func() float64) *hop {
	o := w.limit
	o.Slots = slots
	h := &hop{
		w: w, work: work, service: service, open: map[limiter.CallID]*visit{},
		gate: admitter.NewGate(w.gate), limit: limiter.New(o, w.now),
		chain: admitter.NewChain(admitter.ThresholdCacheOptions{}),
	}
	id := identifier.Endpoint(fmt.Sprint(service, len(w.hops)))
	w.byID[id], w.hops = h, append(w.hops, h)
	for _, e := range callers {
		e.router.Put(router.Endpoint{ID: id, Service: service, Slots: slots, State: router.Ready}, 0)
	}
	return h
}

func (w *simulation) poisson(mean float64) int {
	n, p := 0, w.rand.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= w.rand.Float64()
	}
	return n
}

// erlang draws a working time from an Erlang distribution of mean 1, which varies less than an exponential one.
func (w *simulation) erlang() float64 {
	return (w.rand.ExpFloat64() + w.rand.ExpFloat64() + w.rand.ExpFloat64() + w.rand.ExpFloat64()) / 4
}

func (w *simulation) arrive() {
	q := &request{route: plainRoute, arrivedAt: w.now, deadline: w.now.Add(w.callerTimeout)}
	if w.rand.Float64() < w.nestingPart {
		q.route = nestingRoute
	}
	if w.rank != nil {
		q.rank, q.origin = w.rank(w.rand, w.now)
	} else {
		classes := [...]identifier.Priority{0, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 3, 3, 3, 3}
		q.rank = identifier.MakeRank(classes[w.rand.IntN(len(classes))], uint8(w.rand.IntN(12)), w.rand.Uint64())
	}
	w.sent[w.now/clock.Time(goodputInterval)]++
	w.sentByTeam[q.origin.team]++
	if w.settled(q) {
		w.urgentSent++
	}
	w.send(q)
}

// send simulates the caller, who retries immediately, without backoff, up to scenario.retries times.
func (w *simulation) send(q *request) {
	e := w.entries[w.rand.IntN(len(w.entries))]
	again := func() {
		if q.attempts++; q.attempts <= w.retries {
			q.deadline = w.now.Add(w.callerTimeout)
			w.send(q)
		}
	}
	if !w.noGate && !e.thresholds.AdmitRoute(front, q.route, q.rank, w.now) {
		w.after(networkDelay, again)
		return
	}
	w.forward(e, front, q, nil, func(ok, _ bool) {
		if ok {
			w.finished(q)
			return
		}
		again()
	})
}

// forward simulates an attempt of a node; a call that one endpoint refused is sent to another one, once.
func (w *simulation) forward(e entry, to identifier.Service, q *request, refused []identifier.Endpoint, answer func(ok, ran bool)) {
	w.attempts++
	if refused == nil {
		e.damper.CountFirst(to, w.now)
	}
	sent := w.now
	picked, _ := e.router.Pick(to, w.now, refused)
	h := w.byID[picked.ID]
	h.offer(q, func(ok, ran bool) {
		own, headroom := h.gate.Threshold(), h.limit.Headroom(h.w.now)
		effective := h.chain.Effective(own, q.route, w.now)
		w.after(networkDelay, func() {
			e.thresholds.LearnThreshold(to, own, w.now)
			e.thresholds.LearnRouteThreshold(to, q.route, effective, w.now)
			outcome := router.Succeeded
			if !ran {
				outcome = router.Refused
			}
			e.router.Done(picked.ID, router.Result{Outcome: outcome, Headroom: headroom, Latency: w.now.Sub(sent)}, w.now)
			again := !ran && refused == nil && e.router.Count(to) > 1 && e.thresholds.AdmitRoute(to, q.route, q.rank, w.now)
			if again && e.damper.Allow(to, w.now) {
				w.forward(e, to, q, []identifier.Endpoint{picked.ID}, answer)
				return
			}
			answer(ok, ran)
		})
	})
}

func (w *simulation) finished(q *request) {
	w.good[w.now/clock.Time(goodputInterval)]++
	w.servedByTeam[q.origin.team]++
	w.delays = append(w.delays, float64(w.now.Sub(q.arrivedAt)))
	if w.settled(q) {
		w.urgentGood++
	}
}

// settled reports whether the call is urgent and arrived early enough to be answered before the run ends.
func (w *simulation) settled(q *request) bool {
	return q.rank.Priority() == identifier.Urgent && q.arrivedAt < clock.Time(w.seconds*1000-2000)
}

// nest simulates the front service after its own work: calls of nestingRoute call the deep service.
func (w *simulation) nest(v *visit) {
	q := v.request
	if q.route == plainRoute {
		v.finish(true)
		return
	}
	h := v.hop
	note := func() { h.chain.LearnThreshold(nestingRoute, deep, h.exit.thresholds.Threshold(deep, w.now), w.now) }
	if !w.noGate && !h.exit.thresholds.Admit(deep, q.rank, w.now) {
		note()
		v.finish(false)
		return
	}
	w.forward(h.exit, deep, q, nil, func(ok, _ bool) {
		note()
		v.finish(ok)
	})
}

func (h *hop) offer(q *request, answer func(ok, ran bool)) {
	if !h.gate.Admit(q.rank, h.w.now) && !h.w.noGate {
		answer(false, false)
		return
	}
	if h.service == front && h.w.admitted != nil {
		h.w.admitted(q.origin, h.w.now)
	}
	h.next++
	h.open[h.next] = &visit{request: q, hop: h, id: h.next, answer: answer}
	h.out = h.limit.Offer(limiter.Call{ID: h.next, Rank: q.rank, Deadline: q.deadline}, h.w.now, h.out[:0])
	h.perform()
}

func (h *hop) tick() {
	h.out = h.limit.Tick(h.w.now, h.out[:0])
	h.perform()
	h.gate.SetTarget(h.limit.ExpectedDelay())
	h.gate.Observe(h.limit.QueueDelay(h.w.now), h.w.now)
}

func (h *hop) perform() {
	verdicts := append([]limiter.Verdict(nil), h.out...)
	for _, verdict := range verdicts {
		v := h.open[verdict.ID]
		switch verdict.Action {
		case limiter.Dispatch:
			h.gate.Served(h.w.now)
			h.start(v)
		case limiter.Shed, limiter.Expire:
			delete(h.open, v.id)
			v.answer(false, false)
		case limiter.Queue:
		}
	}
}

func (h *hop) start(v *visit) {
	h.chain.CountCall(v.request.route)
	work := clock.Duration(math.Round(h.work()))
	left := v.request.deadline.Sub(h.w.now)
	if work > left {
		h.w.after(left, func() { v.end(limiter.TimedOut) })
		return
	}
	h.w.after(work, func() { h.ran(v) })
}

func (v *visit) finish(ok bool) {
	outcome := limiter.Succeeded
	if !ok {
		outcome = limiter.Failed
		v.hop.w.wasted++
	}
	if v.hop.w.now > v.request.deadline {
		outcome = limiter.TimedOut
	}
	v.end(outcome)
}

func (v *visit) end(o limiter.Outcome) {
	h := v.hop
	delete(h.open, v.id)
	h.out = h.limit.Done(v.id, o, h.w.now, h.out[:0])
	h.perform()
	v.answer(o == limiter.Succeeded, true)
}

// between returns the mean per second of the intervals from second a to second b.
func between(slices []float64, a, b float64) float64 {
	sum := 0.0
	for _, v := range slices[int(a*10):int(b*10)] {
		sum += v
	}
	return sum / (b - a)
}

// recovery returns the milliseconds from second end until the goodput over half a second reaches 95% of want.
func recovery(slices []float64, end, want float64) float64 {
	for i := int(end * 10); i+5 <= len(slices); i++ {
		if between(slices, float64(i)/10, float64(i)/10+0.5) >= 0.95*want {
			return float64(i)*100 - end*1000
		}
	}
	return math.Inf(1)
}
