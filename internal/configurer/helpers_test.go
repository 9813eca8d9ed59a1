package configurer_test

// A simulation of several nodes that share one log: messages are lost, duplicated and delayed, appends take effect late
// or twice, records expire, and nodes are replaced. The tests compare the nodes with a much simpler model, which reads
// the whole log.

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// CI must give the same result each time; -rapid.seed still selects other cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

type logged struct {
	record configurer.Record
	value  any
	at     clock.Time
}

type envelope struct {
	due      clock.Time
	from, to identifier.Node
	message  any
}

type simulatedNode struct {
	id             identifier.Node
	domain         int
	c              *configurer.Configurer
	logUnreachable bool
	paused         clock.Time
	lastDelivered  identifier.Offset
	covered        map[identifier.Offset]bool
	skipped        map[identifier.Offset]bool
	version        identifier.Version
	changed        clock.Time
}

type simulation struct {
	rand           *rand.Rand
	now            clock.Time
	log            []logged
	earliest       identifier.Offset
	outage         bool
	appendsClosed  bool
	delayed        bool
	retention      clock.Duration
	nodes          []*simulatedNode
	byID           map[identifier.Node]*simulatedNode
	inFlight       []envelope
	pendingAppends []logged
	loss           float64
	partitioned    bool
	started        int
	messages       int
	bytes          int
	fault          string
}

func newSimulation(seed uint64, perDomain ...int) *simulation {
	w := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), now: 1, retention: clock.Minute}
	for d, count := range perDomain {
		for range count {
			w.nodes = append(w.nodes, w.startNode(d))
		}
	}
	w.updatePeers()
	return w
}

func (w *simulation) startNode(domain int) *simulatedNode {
	w.started++
	id := identifier.Node(fmt.Sprintf("n%d", w.started))
	c := configurer.New(configurer.Options{
		Node: id, Rand: rand.New(rand.NewPCG(uint64(w.started), 2)), Decode: encoder.Decode, Retention: w.retention,
	})
	return &simulatedNode{
		id: id, domain: domain, lastDelivered: -1, c: c,
		covered: map[identifier.Offset]bool{}, skipped: map[identifier.Offset]bool{},
	}
}

func (w *simulation) updatePeers() {
	w.byID = map[identifier.Node]*simulatedNode{}
	for _, m := range w.nodes {
		w.byID[m.id] = m
	}
	for _, m := range w.nodes {
		var local, remote []identifier.Node
		for _, o := range w.nodes {
			switch {
			case o == m:
			case o.domain == m.domain:
				local = append(local, o.id)
			case len(remote) < 4:
				remote = append(remote, o.id)
			}
		}
		m.c.SetPeers(local, remote)
	}
}

func (w *simulation) wall() clock.Wall { return clock.Wall(1_700_000_000_000 + int64(w.now)) }

func (w *simulation) append(value any) {
	raw, err := encoder.Encode(value)
	if err != nil {
		panic(err)
	}
	o := identifier.Offset(len(w.log))
	w.log = append(w.log, logged{record: configurer.Record{Offset: o, Raw: raw}, value: value, at: w.now})
}

func (w *simulation) perform(m *simulatedNode, effects []configurer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case configurer.Send:
			w.send(m.id, e)
		case configurer.ReadLog:
			w.read(m, e)
		case configurer.Append:
			w.pendingAppends = append(w.pendingAppends, logged{value: e.Record, at: w.now.Add(clock.Duration(w.rand.IntN(3000)))})
			if w.rand.IntN(3) == 0 {
				w.pendingAppends = append(w.pendingAppends, logged{value: e.Record, at: w.now.Add(clock.Duration(w.rand.IntN(20000)))})
			}
		case configurer.Deliver:
			if e.Offset <= m.lastDelivered {
				w.fault = fmt.Sprintf("%s delivered offset %d after offset %d", m.id, e.Offset, m.lastDelivered)
			}
			m.lastDelivered = e.Offset
			m.covered[e.Offset] = true
		case configurer.Skipped:
			for o := e.From; o < e.To; o++ {
				m.covered[o] = true
				m.skipped[o] = true
			}
		case configurer.Changed:
			m.changed = w.now
		}
	}
}

func (w *simulation) send(from identifier.Node, e configurer.Send) {
	raw, err := encoder.Encode(e.Message)
	if err != nil {
		panic(err)
	}
	w.messages++
	w.bytes += len(raw)
	if w.rand.Float64() < w.loss {
		return
	}
	delay := clock.Duration(1 + w.rand.IntN(3))
	if w.loss > 0 && w.rand.IntN(20) == 0 {
		w.delayed = true
		delay = clock.Duration(w.rand.IntN(4000))
		w.inFlight = append(w.inFlight, envelope{due: w.now.Add(1), from: from, to: e.To, message: e.Message})
	}
	w.inFlight = append(w.inFlight, envelope{due: w.now.Add(delay), from: from, to: e.To, message: e.Message})
}

func (w *simulation) read(m *simulatedNode, e configurer.ReadLog) {
	if w.outage || m.logUnreachable {
		w.perform(m, m.c.LogFailed(w.now))
		return
	}
	b := configurer.Batch{Earliest: w.earliest, Next: identifier.Offset(len(w.log)), Asked: e.Asked}
	for o := max(e.From, w.earliest); o < b.Next && len(b.Records) < 50; o++ {
		b.Records = append(b.Records, w.log[o].record)
	}
	w.perform(m, m.c.LogRead(b, w.now, w.wall()))
}

func (w *simulation) nodeByID(id identifier.Node) *simulatedNode {
	return w.byID[id]
}

func (w *simulation) run(span clock.Duration) {
	end := w.now.Add(span)
	for w.now < end {
		w.now++
		w.deliver()
		if w.now%50 == 0 {
			w.tick()
		}
	}
}

func (w *simulation) deliver() {
	var rest []envelope
	due := w.inFlight
	w.inFlight = nil
	for _, e := range due {
		if e.due > w.now {
			rest = append(rest, e)
			continue
		}
		from, to := w.nodeByID(e.from), w.nodeByID(e.to)
		if to == nil || from == nil || to.paused > w.now || (w.partitioned && from.domain != to.domain) {
			continue
		}
		w.perform(to, to.c.Receive(e.from, e.message, w.now, w.wall()))
	}
	w.inFlight = append(w.inFlight, rest...)
}

func (w *simulation) tick() {
	var pendingAppends []logged
	for _, l := range w.pendingAppends {
		if l.at > w.now || w.outage || w.appendsClosed {
			pendingAppends = append(pendingAppends, l)
			continue
		}
		w.append(l.value)
	}
	w.pendingAppends = pendingAppends
	for int(w.earliest) < len(w.log) && w.now.Sub(w.log[w.earliest].at) > w.retention {
		w.earliest++
	}
	for i, m := range w.nodes {
		if m.paused > w.now {
			continue
		}
		w.perform(m, m.c.Tick(w.now, w.wall()))
		if (int(w.now)/50+i)%10 == 0 {
			w.ping(m)
		}
	}
}

// ping simulates a membership ping and its answer, which carry the position and the newest log contact.
func (w *simulation) ping(m *simulatedNode) {
	o := w.nodes[w.rand.IntN(len(w.nodes))]
	if o == m || o.domain != m.domain || o.paused > w.now {
		return
	}
	for _, pair := range [][2]*simulatedNode{{m, o}, {o, m}} {
		from, to := pair[0], pair[1]
		if w.rand.Float64() < w.loss {
			return
		}
		w.perform(to, to.c.ReceivePeerStatus(from.id, from.c.Offset(), from.c.Contact(w.now), w.now))
	}
}
