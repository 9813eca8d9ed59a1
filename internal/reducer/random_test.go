package reducer

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
)

// randomCalls performs random actions of callers, backend servers, the network and an operator, in any order.
type randomCalls struct {
	*simulatedNode
	withdrawn  bool
	sentWithID []idempotentCall
}

// idempotentCall is a request with an idempotency id, which a caller may send again with the same id.
type idempotentCall struct {
	service identifier.Service
	id      identifier.Idempotency
}

func (m *randomCalls) callRoot(t *rapid.T) {
	service := rapid.SampledFrom([]identifier.Service{"ice", "board", "nowhere"}).Draw(t, "service")
	method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
	key := rapid.SampledFrom([]identifier.KeyHash{testKey, otherKey, "unknown"}).Draw(t, "key")
	deadline := rapid.SampledFrom([]clock.Duration{0, 50, 1000}).Draw(t, "deadline")
	m.call(key, service, method, "", deadline)
}

func (m *randomCalls) callWithID(*rapid.T) {
	b := idempotentCall{service: "ice", id: identifier.Idempotency("id-" + string(requestOf(m.nextCall)))}
	m.sentWithID = append(m.sentWithID, b)
	m.call(testKey, b.service, "POST", b.id, 0)
}

// retryWithID is a caller that sends a request again with the same id, whether or not it got an answer.
func (m *randomCalls) retryWithID(t *rapid.T) {
	if len(m.sentWithID) == 0 {
		t.Skip("no call with an id was sent yet")
	}
	b := rapid.SampledFrom(m.sentWithID).Draw(t, "booking")
	m.call(testKey, b.service, "POST", b.id, 0)
}

func (m *randomCalls) callNested(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no call is running")
	}
	d := m.deliveries[rapid.SampledFrom(m.running).Draw(t, "parent")]
	method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
	m.nestedCall(d.token, d.root, "ice", method)
}

// callWithDeadToken is a backend server that makes a nested call with the token of an ended delivery, or with none.
func (m *randomCalls) callWithDeadToken(t *rapid.T) {
	token := Token("")
	for _, d := range m.deliveries {
		if d.ended {
			token = d.token
		}
	}
	c := m.nestedCall(token, 0, "ice", "GET")
	a := m.calls[c]
	if a.refusal == nil || a.refusal.Reason != UnknownToken {
		t.Fatalf("a nested call with the token of an ended delivery was not refused with UnknownToken")
	}
}

func (m *randomCalls) takeForward(t *rapid.T) Forward {
	if len(m.forwards) == 0 {
		t.Skip("no attempt is in progress")
	}
	i := rapid.IntRange(0, len(m.forwards)-1).Draw(t, "forward")
	f := m.forwards[i]
	m.forwards = append(m.forwards[:i], m.forwards[i+1:]...)
	return f
}

func (m *randomCalls) deliverCall(t *rapid.T) {
	f := m.takeForward(t)
	service := identifier.Service("ice")
	if slices.Contains(boardEndpoints, f.Endpoint) {
		service = "board"
	}
	method := "POST"
	if m.calls[f.Call].idempotent {
		method = "GET"
	}
	m.deliver(f, service, method)
}

// failToSend is an attempt at a node that can't be dialed.
func (m *randomCalls) failToSend(t *rapid.T) {
	f := m.takeForward(t)
	m.apply(&AnswerEnded{Call: f.Call, Phase: NotSent, Replayable: true, Wall: m.wall()})
}

func (m *randomCalls) takeRunning(t *rapid.T) CallID {
	if len(m.running) == 0 {
		t.Skip("no call is running")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	d := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	return d
}

func (m *randomCalls) answer(t *rapid.T) {
	m.apply(&DeliveryEnded{Delivery: m.takeRunning(t)})
}

// loseAnswer is a connection between two nodes that breaks after the call has run.
func (m *randomCalls) loseAnswer(t *rapid.T) {
	id := m.takeRunning(t)
	d := m.deliveries[id]
	d.ended = true
	replayable := rapid.Bool().Draw(t, "replayable")
	m.apply(&DeliveryCancelled{Delivery: id})
	m.apply(&AnswerEnded{Call: d.call, Phase: Sent, Replayable: replayable, Wall: m.wall()})
}

func (m *randomCalls) callerLeaves(t *rapid.T) {
	var open []CallID
	for c := CallID(1); c <= m.nextCall; c++ {
		if a, ok := m.calls[c]; ok && a.finalAnswers == 0 {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		t.Skip("no caller is waiting")
	}
	c := rapid.SampledFrom(open).Draw(t, "call")
	m.apply(&CallCancelled{Call: c})
	m.calls[c].finalAnswers++
}

func (m *randomCalls) wait(t *rapid.T) {
	m.advance(clock.Duration(rapid.SampledFrom([]int{10, 100, 600}).Draw(t, "ms")))
}

func (m *randomCalls) withdrawKey(t *rapid.T) {
	if m.withdrawn {
		t.Skip("key already withdrawn")
	}
	m.withdrawn = true
	m.simulatedNode.withdraw()
	m.advance(clock.Second)
	if _, ok := m.state.configurer.Resolve(otherKey); ok {
		t.Fatalf("the withdrawn key still resolves one second after its withdrawal")
	}
}

// checkWithdrawnKey checks the invariant that no call is forwarded for a withdrawn key; simulatedNode checks the other
// invariants at each effect.
func (m *randomCalls) checkWithdrawnKey(t *rapid.T) {
	if !m.withdrawn {
		return
	}
	for _, f := range m.forwards {
		if f.KeyHash != otherKey {
			continue
		}
		// A call that was forwarded before the withdrawal may still be in progress; its delivery is refused in deliverCall.
		if d := m.state.calls[f.Call]; d != nil && d.sentAt > m.now {
			t.Fatalf("call %d was forwarded for a withdrawn key", f.Call)
		}
	}
}

// Requests, lost answers, unreachable nodes, disconnecting callers and the withdrawal of a key occur in any order. The
// test guards against callers that get two answers or none, a call that runs twice with one idempotency id, a refusal
// that wrongly says "not run", and more retries than the allowance.
func TestRandomCallSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &randomCalls{simulatedNode: newSimulatedNode(t.Fatalf)}
		t.Repeat(map[string]func(*rapid.T){
			"callRoot":     m.callRoot,
			"book":         m.callWithID,
			"bookAgain":    m.retryWithID,
			"callNested":   m.callNested,
			"forgedToken":  m.callWithDeadToken,
			"deliverCall":  m.deliverCall,
			"neverSent":    m.failToSend,
			"answer":       m.answer,
			"loseAnswer":   m.loseAnswer,
			"callerLeaves": m.callerLeaves,
			"wait":         m.wait,
			"withdraw":     m.withdrawKey,
			"":             m.checkWithdrawnKey,
		})
		m.settle(t)
	})
}

// settle ends all calls and deliveries in progress, and checks that every caller then has exactly one answer and that
// the node has removed all calls.
func (m *randomCalls) settle(t *rapid.T) {
	for settled := false; !settled; settled = len(m.forwards) == 0 && len(m.running) == 0 {
		for len(m.forwards) > 0 {
			f := m.forwards[0]
			m.forwards = m.forwards[1:]
			m.apply(&AnswerEnded{Call: f.Call, Phase: NotSent, Replayable: true, Wall: m.wall()})
		}
		for len(m.running) > 0 {
			id := m.running[0]
			m.running = m.running[1:]
			m.apply(&DeliveryEnded{Delivery: id})
		}
		// A call that waits for another one with the same id may be forwarded only now.
		m.advance(10 * clock.Second)
	}
	for c, a := range m.calls {
		if a.finalAnswers != 1 {
			t.Fatalf("call %d got %d final answers", c, a.finalAnswers)
		}
	}
	assert.Equal(t, len(m.state.calls), 0)
	assert.Equal(t, len(m.state.deliveries), 0)
	assert.Equal(t, len(m.state.tokens), 0)
	for _, b := range m.state.backends {
		assert.Equal(t, b.limiter.InFlight(), 0)
	}
}

// All attempts of one request fail repeatedly at every hop. Without a retry budget for the whole call chain, each hop
// would retry a few times, the number of calls to the deepest service would grow exponentially with the depth, and a
// short fault would become a lasting outage.
func TestRetriesOfOneRequestAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &randomCalls{simulatedNode: newSimulatedNode(t.Fatalf)}
		// With default options the damper would stop the retries before the allowance does.
		m.state.damper = retrier.NewDamper(retrier.DamperOptions{PerMille: 1_000_000, Burst: 1000})
		m.call(testKey, "board", "GET", "", 0)
		t.Repeat(map[string]func(*rapid.T){
			"callNested":  m.callNested,
			"deliverCall": m.deliverCall,
			"neverSent":   m.failToSend,
			"loseAnswer":  m.loseAnswer,
			"answer":      m.answer,
			"refuse":      m.refuseForward,
			"wait":        m.wait,
		})
	})
}

// refuseForward is a refusal by another node, whose endpoint is full.
func (m *randomCalls) refuseForward(t *rapid.T) {
	f := m.takeForward(t)
	unused := rapid.Uint8Range(0, f.Allowance).Draw(t, "unused")
	m.apply(&AnswerEnded{
		Call: f.Call, Phase: Answered, Replayable: true, Wall: m.wall(), Tail: &Tail{Allowance: unused, Threshold: identifier.MaxRank},
		Refusal: &RemoteRefusal{Reason: EndpointFull, NotRun: true},
	})
}

// A call waits in a queue while the withdrawal of its key is read. If the key were not looked up again when a slot
// becomes free, a caller that keeps the queue full would be served after its key was withdrawn.
func TestWithdrawnKeyLeavesQueue(t *testing.T) {
	w := newSimulatedNode(t.Fatalf)
	for range 2 * len(iceEndpoints) {
		w.call(testKey, "ice", "GET", "", 0)
	}
	queued := w.call(otherKey, "ice", "POST", "", 0)
	for _, f := range w.forwards {
		method := "GET"
		if f.Call == queued {
			method = "POST"
		}
		w.deliver(f, "ice", method)
	}
	w.forwards = nil
	assert.Equal(t, w.calls[queued].runs, 0)
	w.withdraw()
	w.advance(clock.Second)
	for len(w.running) > 0 {
		id := w.running[0]
		w.running = w.running[1:]
		w.apply(&DeliveryEnded{Delivery: id})
	}
	a := w.calls[queued]
	assert.Equal(t, a.runs, 0)
	assert.Equal(t, a.refusal.Reason, UnknownKey)
	assert.Assert(t, a.refusal.NotRun)
}
