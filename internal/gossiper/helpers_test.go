package gossiper_test

// A simulation of a fleet of nodes in several failure domains, connected by a lossy network. It records which nodes
// live and when each endpoint was announced or ended; a node's view may lag behind by the specified limits and no more.

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// TestMain fixes the seed so that CI gives the same result on each run; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	// Each sequence simulates minutes of a fleet's life, so only a few are run by default.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "30")
	}
	os.Exit(m.Run())
}

const (
	service        identifier.Service = "bookings"
	leavingLimit                      = 2 * clock.Second
	deadLimit                         = 5 * clock.Second
	discoveryLimit                    = 10 * clock.Second
	// recoveryTime is what the domains need to exchange records again after a partition or a pause, before the limits
	// above count.
	recoveryTime = 3 * clock.Second
)

type simulatedNode struct {
	id          identifier.Node
	address     string
	domain      identifier.FailureDomain
	g           *gossiper.Gossiper
	startedAt   clock.Time
	pausedUntil clock.Time
	// effectView is the view that results from the effects alone.
	effectView map[identifier.Endpoint]gossiper.PlacedEndpoint
	seeds      []string
	// logPosition is the number of log records that the node has read.
	logPosition int
	tickOffset  clock.Time
	messages    int
	bytes       int
}

// endpointTruth is the true state of one endpoint.
type endpointTruth struct {
	node *simulatedNode
	// readyAt is when the endpoint was announced, goneAt when it left or died; zero if it hasn't.
	readyAt, goneAt clock.Time
	useLimit        clock.Duration
}

type envelope struct {
	from *simulatedNode
	send gossiper.Send
}

type simulation struct {
	rand          *rand.Rand
	now           clock.Time
	nodes         []*simulatedNode
	byID          map[identifier.Node]*simulatedNode
	byAddress     map[string]*simulatedNode
	messagesDue   map[clock.Time][]envelope
	log           []any
	lossRate      float64
	countsTraffic bool
	// isolatedDomain is the domain that is partitioned from the others.
	isolatedDomain identifier.FailureDomain
	// disturbedUntil is the end of the last partition or pause; the limits count from then.
	disturbedUntil clock.Time
	// lastCrash is the time of the last crash in a domain. After two in close succession all its relays may be dead
	// until that is detected, so the limits between it and other domains only count from unsettledUntil.
	lastCrash      map[identifier.FailureDomain]clock.Time
	unsettledUntil map[identifier.FailureDomain]clock.Time
	startCount     int
	endpointTruths map[identifier.Endpoint]*endpointTruth
	falseRemovals  int
}

func newSimulation(seed uint64, domains ...int) *simulation {
	w := &simulation{
		rand: rand.New(rand.NewPCG(seed, 5)), now: 1000,
		byID: map[identifier.Node]*simulatedNode{}, byAddress: map[string]*simulatedNode{},
		lastCrash: map[identifier.FailureDomain]clock.Time{}, unsettledUntil: map[identifier.FailureDomain]clock.Time{},
		messagesDue: map[clock.Time][]envelope{}, endpointTruths: map[identifier.Endpoint]*endpointTruth{},
	}
	for d, n := range domains {
		for range n {
			w.start(identifier.FailureDomain(fmt.Sprintf("domain-%d", d)))
		}
	}
	return w
}

func (w *simulation) start(domain identifier.FailureDomain) *simulatedNode {
	if !w.hasNodes(domain) {
		// A domain that died whole is in use again as soon as a node starts in it, and that node has to detect which of
		// the old members are dead.
		w.unsettledUntil[domain] = w.now.Add(deadLimit)
	}
	w.startCount++
	id := identifier.Node(fmt.Sprintf("node-%05d-4f7a", w.startCount*7919%100_000))
	m := &simulatedNode{
		id: id, address: fmt.Sprintf("10.0.%d.%d:7400", w.startCount/250, w.startCount%250), domain: domain, startedAt: w.now,
		effectView: map[identifier.Endpoint]gossiper.PlacedEndpoint{}, tickOffset: clock.Time(w.rand.IntN(100)),
	}
	var seeds []string
	for range min(3, len(w.nodes)) {
		seeds = append(seeds, w.nodes[w.rand.IntN(len(w.nodes))].address)
	}
	m.g = gossiper.New(gossiper.Options{
		Self:  gossiper.Member{Node: id, Domain: domain, Address: m.address, AdminAddress: m.address},
		Seeds: seeds, Rand: rand.New(rand.NewPCG(uint64(w.startCount), 9)),
	})
	m.seeds = seeds
	w.nodes = append(w.nodes, m)
	w.byID[id] = m
	w.byAddress[m.address] = m
	m.g.SetStatus(gossiper.Status{Offset: 123_456, Version: 87, InForce: "ordinary", Reader: id, Stamp: 1_000_000, Age: 250})
	w.perform(m, m.g.AddInterest(service, w.now))
	w.announce(m)
	return m
}

func (w *simulation) announce(m *simulatedNode) {
	id := identifier.Endpoint(fmt.Sprintf("e%d", len(w.endpointTruths)+1))
	w.endpointTruths[id] = &endpointTruth{node: m, readyAt: w.now}
	e := gossiper.Endpoint{ID: id, Service: service, Slots: 150, ConnectionLimit: 1000, State: gossiper.Ready}
	w.perform(m, m.g.SetEndpoint(e, w.now))
}

func (w *simulation) endEndpoint(id identifier.Endpoint, useLimit clock.Duration) {
	if a := w.endpointTruths[id]; a.goneAt == 0 {
		a.goneAt = w.now
		a.useLimit = useLimit
	}
}

// remove ends a node, after announcing that it leaves if the limit is leavingLimit, otherwise by a crash.
func (w *simulation) remove(m *simulatedNode, useLimit clock.Duration) {
	for id, a := range w.endpointTruths {
		if a.node == m {
			w.endEndpoint(id, useLimit)
		}
	}
	if useLimit == leavingLimit {
		w.perform(m, m.g.Leave(w.now))
		w.run(clock.Second)
	} else {
		w.extendUnknownLeaving(m)
		if previous := w.lastCrash[m.domain]; previous > 0 && w.now.Sub(previous) < 6*clock.Second {
			w.unsettledUntil[m.domain] = w.now.Add(deadLimit)
		}
		w.lastCrash[m.domain] = w.now
	}
	w.nodes = slices.DeleteFunc(w.nodes, func(o *simulatedNode) bool { return o == m })
	delete(w.byID, m.id)
	delete(w.byAddress, m.address)
}

// extendUnknownLeaving allows the time of a crash for endpoints that started to leave just before their node crashed,
// if no living node has received that they leave: no node is left to report it, and no call can reach them through a
// dead node.
func (w *simulation) extendUnknownLeaving(crashed *simulatedNode) {
	for id, a := range w.endpointTruths {
		if a.node != crashed || a.goneAt == 0 || a.useLimit != leavingLimit || w.now.Sub(a.goneAt) > leavingLimit || w.isLeavingKnown(id, crashed) {
			continue
		}
		a.useLimit = deadLimit + w.now.Sub(a.goneAt)
	}
}

func (w *simulation) isLeavingKnown(id identifier.Endpoint, crashed *simulatedNode) bool {
	return slices.ContainsFunc(w.nodes, func(m *simulatedNode) bool {
		p, used := m.effectView[id]
		return m != crashed && (!used || p.State == gossiper.Leaving)
	})
}

// readLog lets a node without a living seed read the log, which is the other way to find the fleet.
func (w *simulation) readLog(m *simulatedNode) {
	for _, s := range m.seeds {
		if w.byAddress[s] != nil {
			return
		}
	}
	for ; m.logPosition < len(w.log); m.logPosition++ {
		w.perform(m, m.g.ReadRecord(w.log[m.logPosition], w.now))
	}
}

func (w *simulation) perform(m *simulatedNode, effects []gossiper.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case gossiper.Send:
			w.send(m, e)
		case gossiper.EndpointChanged:
			m.effectView[e.Endpoint.ID] = e.Endpoint
		case gossiper.EndpointGone:
			delete(m.effectView, e.ID)
			if a := w.endpointTruths[e.ID]; a.goneAt == 0 {
				w.falseRemovals++
			}
		case gossiper.Append:
			w.log = append(w.log, e.Record)
		}
	}
}

func (w *simulation) send(from *simulatedNode, e gossiper.Send) {
	if w.countsTraffic {
		raw, err := encoder.Encode(e.Message)
		if err != nil {
			panic(err)
		}
		from.messages++
		from.bytes += len(raw)
	}
	if w.rand.Float64() < w.lossRate {
		return
	}
	due := w.now.Add(clock.Duration(1 + w.rand.IntN(4)))
	w.messagesDue[due] = append(w.messagesDue[due], envelope{from: from, send: e})
}

func (w *simulation) run(span clock.Duration) {
	for end := w.now.Add(span); w.now < end; {
		w.now++
		for _, e := range w.messagesDue[w.now] {
			w.deliver(e)
		}
		delete(w.messagesDue, w.now)
		for _, m := range slices.Clone(w.nodes) {
			if (w.now+m.tickOffset)%clock.Time(gossiper.TickInterval) == 0 && w.now >= m.pausedUntil {
				w.perform(m, m.g.Tick(w.now))
				w.readLog(m)
			}
		}
		if w.isolatedDomain != "" {
			w.disturbedUntil = max(w.disturbedUntil, w.now)
		}
	}
}

func (w *simulation) deliver(e envelope) {
	to := w.byID[e.send.To]
	if e.send.To == "" {
		to = w.byAddress[e.send.Address]
	}
	partitioned := to != nil && to.domain != e.from.domain && (to.domain == w.isolatedDomain || e.from.domain == w.isolatedDomain)
	if to == nil || partitioned || w.now < to.pausedUntil {
		return
	}
	w.perform(to, to.g.Receive(e.from.id, e.send.Message, w.now))
}

func (w *simulation) hasNodes(d identifier.FailureDomain) bool {
	return slices.ContainsFunc(w.nodes, func(m *simulatedNode) bool { return m.domain == d })
}

// findFault describes an endpoint that some node's view still has wrong after its time limit, or returns "".
func (w *simulation) findFault() string {
	for _, m := range w.nodes {
		if w.now < m.pausedUntil {
			continue
		}
		view := map[identifier.Endpoint]gossiper.PlacedEndpoint{}
		for _, p := range m.g.Endpoints(service) {
			view[p.ID] = p
			if m.effectView[p.ID] != p {
				return fmt.Sprintf("%s: effects and view differ on %s", m.id, p.ID)
			}
		}
		if len(view) != len(m.effectView) {
			return fmt.Sprintf("%s: view holds %d endpoints, expected %d by its effects", m.id, len(view), len(m.effectView))
		}
		for id, a := range w.endpointTruths {
			p, known := view[id]
			used := known && p.State != gossiper.Leaving
			useLimit := a.useLimit
			if !w.hasNodes(a.node.domain) {
				// No node of the domain is left to report it, so relays must detect its silence, and they may have just
				// been elected.
				useLimit = deadLimit + 4*clock.Second
			}
			since := max(a.readyAt, a.goneAt, m.startedAt, w.disturbedUntil.Add(recoveryTime))
			if m.domain != a.node.domain {
				since = max(since, w.unsettledUntil[m.domain], w.unsettledUntil[a.node.domain])
			}
			if used && a.goneAt > 0 && w.now > since.Add(useLimit) {
				return fmt.Sprintf("%s of %s still uses endpoint %s of %s, gone for %d ms", m.id, m.domain, id, a.node.domain, w.now.Sub(a.goneAt))
			}
			if !used && a.goneAt == 0 && w.now > since.Add(discoveryLimit) {
				return fmt.Sprintf("%s of %s lacks endpoint %s of %s, expected to be known for %d ms", m.id, m.domain, id, a.node.domain, w.now.Sub(since))
			}
		}
	}
	return ""
}
