package deduplicator_test

// A simulation of several entries and owners with messages that are lost, duplicated and delayed. The simulation
// assigns the claims itself: at each time one node holds a claim, at an epoch, and the other nodes may not know it.

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/google/uuid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// TestMain sets a fixed seed, so that CI gets the same result each time, unless -rapid.seed gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

const window = clock.Minute

type node struct {
	id    identifier.Node
	asker *deduplicator.Asker
	owner *deduplicator.Owner
	// skew is how far the node's wall clock is ahead of true time.
	skew clock.Duration
}

type claimState struct {
	holder *node
	hold   deduplicator.Hold
	next   *node
}

type envelope struct {
	due  clock.Time
	from identifier.Node
	send deduplicator.Send
}

type call struct {
	id          deduplicator.ID
	fingerprint deduplicator.Fingerprint
	entry       *node
	asked       clock.Time
	permitted   clock.Time
}

// request is the oracle's record of one id with one fingerprint.
type request struct {
	runs      int
	permitted clock.Time
	outcome   int
	// notRun is when a refusal last stated that the request had not run.
	notRun clock.Time
}

type simulation struct {
	rand         *rand.Rand
	now          clock.Time
	nodes        []*node
	claims       map[deduplicator.Claim]*claimState
	messages     []envelope
	loss         float64
	calls        map[deduplicator.CallID]*call
	permits      []deduplicator.CallID
	requests     map[string]*request
	startedNodes int
	fault        string
	verdicts     map[deduplicator.CallID]string
	recordBound  int
}

func newSimulation(seed uint64, nodes, maxRecords int) *simulation {
	w := &simulation{
		rand: rand.New(rand.NewPCG(seed, 3)), now: 1, recordBound: maxRecords,
		claims: map[deduplicator.Claim]*claimState{}, calls: map[deduplicator.CallID]*call{},
		requests: map[string]*request{}, verdicts: map[deduplicator.CallID]string{},
	}
	for range nodes {
		w.nodes = append(w.nodes, w.start())
	}
	return w
}

func (w *simulation) start() *node {
	w.startedNodes++
	id := identifier.Node(fmt.Sprintf("n%d", w.startedNodes))
	return &node{
		id: id, skew: clock.Duration(w.rand.IntN(501) - 250),
		asker: deduplicator.NewAsker(deduplicator.AskerOptions{Node: id}),
		owner: deduplicator.NewOwner(deduplicator.OwnerOptions{
			Window: window, RunLimit: 10 * clock.Second, MaxRecords: w.recordBound, MaxBodyBytes: 40,
		}),
	}
}

func (w *simulation) wall(m *node) clock.Wall {
	return clock.Wall(1_700_000_000_000 + int64(w.now) + int64(m.skew))
}

// newID returns a UUIDv7 of a caller whose clock is ahead by the given duration, one with a home, or an opaque id,
// for kinds 0, 1 and 2.
func (w *simulation) newID(ahead clock.Duration, kind int) deduplicator.ID {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(1_700_000_000_000+int64(w.now)+int64(ahead))<<16)
	binary.BigEndian.PutUint64(u[8:], w.rand.Uint64())
	u[6] = 0x70
	u[8] = 0x80 | u[8]&0x3f
	text := [...]string{u.String(), "north:" + u.String(), fmt.Sprintf("order:%d", w.rand.Uint64())}[kind]
	id, err := deduplicator.ParseID(text)
	if err != nil {
		panic(err)
	}
	return id
}

func (w *simulation) call(entry *node, id deduplicator.ID, f deduplicator.Fingerprint) deduplicator.CallID {
	c := deduplicator.CallID(len(w.calls) + 1)
	w.calls[c] = &call{id: id, fingerprint: f, entry: entry, asked: w.now}
	w.performEffects(entry, entry.asker.Ask(c, "team", id, f, w.now.Add(30*clock.Second), w.now, w.wall(entry)))
	return c
}

func (w *simulation) requestOf(c *call) *request {
	key := fmt.Sprint(c.id.Text, " ", c.fingerprint)
	if w.requests[key] == nil {
		w.requests[key] = &request{}
	}
	return w.requests[key]
}

func (w *simulation) performEffects(m *node, effects []deduplicator.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case deduplicator.Send:
			w.send(m, e)
		case deduplicator.Permit:
			w.permits = append(w.permits, e.Call)
			w.verdicts[e.Call] = "permit"
			w.calls[e.Call].permitted = w.now
		case deduplicator.Replay:
			w.verdicts[e.Call] = "replay"
			r := w.requestOf(w.calls[e.Call])
			if r.outcome == 0 || e.Outcome.Status != r.outcome || e.Outcome.Unknown {
				w.fault = fmt.Sprintf("replayed outcome with status %d, recorded status %d", e.Outcome.Status, r.outcome)
			}
		case deduplicator.Refuse:
			w.verdicts[e.Call] = e.Verdict.String()
			r := w.requestOf(w.calls[e.Call])
			if e.NotRun && r.runs > 0 {
				w.fault = fmt.Sprintf("request refused as not run (%s) although it ran %d times", e.Verdict, r.runs)
			}
			if e.NotRun {
				r.notRun = w.now
			}
		}
	}
}

// run counts a permitted request as sent to its backend server, and checks that this is allowed.
func (w *simulation) run(id deduplicator.CallID) {
	c := w.calls[id]
	r := w.requestOf(c)
	r.runs++
	all := 0
	for f := range deduplicator.Fingerprint(3) {
		if o := w.requests[fmt.Sprint(c.id.Text, " ", f)]; o != nil {
			all += o.runs
		}
	}
	if all > 1 && (c.id.Timed || c.asked.Sub(r.permitted) < window) {
		w.fault = fmt.Sprintf("request %s ran more than once", c.id.Text)
	}
	if r.notRun > c.asked {
		w.fault = fmt.Sprintf("request %s ran by an attempt older than a refusal as not run", c.id.Text)
	}
	r.permitted = c.permitted
}

func (w *simulation) finish(id deduplicator.CallID, unknown bool) {
	c := w.calls[id]
	r := w.requestOf(c)
	o := deduplicator.Outcome{Unknown: unknown, Status: 200 + int(id), Body: make([]byte, 15)}
	if !unknown {
		r.outcome = o.Status
	}
	w.performEffects(c.entry, c.entry.asker.Finish(id, o, w.now))
}

func (w *simulation) send(from *node, e deduplicator.Send) {
	copies := 1
	if w.loss > 0 && w.rand.IntN(10) == 0 {
		copies = 2
	}
	for range copies {
		if w.rand.Float64() < w.loss {
			continue
		}
		delay := clock.Duration(1 + w.rand.IntN(3))
		if w.loss > 0 && w.rand.IntN(4) == 0 {
			delay = clock.Duration(w.rand.IntN(20_000))
		}
		w.messages = append(w.messages, envelope{due: w.now.Add(delay), from: from.id, send: e})
	}
}

func (w *simulation) find(id identifier.Node) *node {
	for _, m := range w.nodes {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (w *simulation) claimState(c deduplicator.Claim) *claimState {
	if w.claims[c] == nil {
		m := w.nodes[0]
		w.claims[c] = &claimState{holder: m, hold: deduplicator.Hold{Claim: c, Epoch: 1, Gained: w.wall(m), FirstHolder: true}}
	}
	return w.claims[c]
}

// takeOver makes a node the holder of a claim at the next epoch; the old holder isn't notified.
func (w *simulation) takeOver(h *claimState, m *node) {
	h.holder, h.next = m, nil
	h.hold = deduplicator.Hold{Claim: h.hold.Claim, Epoch: h.hold.Epoch + 1, Gained: w.wall(m)}
}

func (w *simulation) export(h *claimState) {
	for _, part := range h.holder.owner.Export(h.hold, w.now) {
		w.send(h.holder, deduplicator.Send{To: h.next.id, Message: part})
	}
}

func (w *simulation) wait(span clock.Duration) {
	for end := w.now.Add(span); w.now < end; w.now++ {
		due := w.messages
		w.messages = nil
		var rest []envelope
		for _, e := range due {
			if e.due > w.now {
				rest = append(rest, e)
				continue
			}
			w.deliver(e)
		}
		w.messages = append(w.messages, rest...)
		if w.now%50 == 0 {
			w.tick()
		}
	}
}

func (w *simulation) deliver(e envelope) {
	to := w.find(e.send.To)
	if e.send.Claim != "" {
		to = w.claimState(e.send.Claim).holder
		if w.rand.IntN(10) == 0 {
			to = w.nodes[w.rand.IntN(len(w.nodes))]
		}
	}
	if to == nil {
		return
	}
	if answer, ok := e.send.Message.(deduplicator.HandoverAnswer); ok {
		h := w.claimState(answer.Claim)
		if h.holder == to && h.hold.Epoch == answer.Epoch && h.next != nil {
			w.takeOver(h, h.next)
		}
		return
	}
	if claim, ok := deduplicator.ClaimOfMessage(e.send.Message); ok {
		h := w.claimState(claim)
		hold := h.hold
		hold.Claim = claim
		w.performEffects(to, to.owner.Receive(e.from, e.send.Message, hold, h.holder == to, w.now, w.wall(to)))
		return
	}
	if part, ok := e.send.Message.(deduplicator.Handover); ok {
		w.performEffects(to, to.owner.Receive(e.from, part, deduplicator.Hold{}, false, w.now, w.wall(to)))
		return
	}
	w.performEffects(to, to.asker.Receive(e.send.Message, w.now))
}

func (w *simulation) tick() {
	for _, m := range w.nodes {
		w.performEffects(m, m.asker.Tick(w.now))
		m.owner.Tick(w.now, w.wall(m))
	}
	if w.now%500 != 0 {
		return
	}
	for _, c := range append(deduplicator.Claims(""), deduplicator.Claims("north")...) {
		if h := w.claims[c]; h != nil && h.next != nil {
			w.export(h)
		}
	}
}
