package reducer

import (
	"fmt"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	testTeam  = identifier.Team("captains")
	testKey   = identifier.KeyHash("aa11")
	otherKey  = identifier.KeyHash("bb22")
	peerNode  = identifier.Node("a2")
	allowance = 3
)

// There are more endpoints than a request has retries, so that only its retry allowance can end the retries.
var (
	iceEndpoints   = []identifier.Endpoint{"ice-1", "ice-2", "ice-3", "ice-4", "ice-5", "ice-6"}
	boardEndpoints = []identifier.Endpoint{"board-1", "board-2", "board-3", "board-4", "board-5", "board-6"}
)

// simulatedNode is one node with a log that never fails. It performs the node's effects immediately, except for
// forwarded calls and calls running at a backend server, which it keeps until the test ends them.
type simulatedNode struct {
	state    *State
	now      clock.Time
	log      [][]byte
	pending  []Event
	nextCall CallID

	calls      map[CallID]*callRecord
	deliveries map[CallID]*deliveryRecord
	forwards   []Forward
	running    []CallID
	fail       func(format string, args ...any)
}

// callRecord records what a caller received for its call, and how often the call was forwarded and ran.
type callRecord struct {
	root         CallID
	key          identifier.KeyHash
	idempotent   bool
	idempotency  identifier.Idempotency
	forwards     int
	runs         int
	finalAnswers int
	refusal      *Refusal
}

type deliveryRecord struct {
	call  CallID
	token Token
	root  CallID
	ended bool
}

func newSimulatedNode(fail func(string, ...any)) *simulatedNode {
	w := &simulatedNode{
		now:        1,
		calls:      make(map[CallID]*callRecord),
		deliveries: make(map[CallID]*deliveryRecord),
		fail:       fail,
	}
	w.state = New(Options{Self: "a1", Domain: "alfa", Address: "127.0.0.1:1", Seed: 7, Decode: encoder.Decode})
	w.publish(configurer.PublishPreset{Change: w.change("p", 0), Preset: testPreset()})
	w.publish(configurer.SwitchPreset{Change: w.change("s", 0), Preset: "ordinary"})
	w.publish(configurer.IssueKey{Change: w.change("k", 0), Key: definer.Key{Hash: testKey, Team: testTeam}})
	w.publish(configurer.IssueKey{Change: w.change("l", 0), Key: definer.Key{Hash: otherKey, Team: testTeam}})
	for _, id := range iceEndpoints {
		w.announce(id, "ice", 1)
	}
	for _, id := range boardEndpoints {
		w.announce(id, "board", 1)
	}
	w.apply(&MessageReceived{From: peerNode, Wall: w.wall(), Message: gossiper.Join{Self: gossiper.Member{
		Node: peerNode, Domain: "alfa", Address: "127.0.0.1:2", State: gossiper.Alive, Incarnation: 1,
	}}})
	// The node may act under its claims only after the terms of possible earlier holders have passed.
	w.advance(20 * clock.Second)
	return w
}

func testPreset() definer.Preset {
	all := func(idempotent bool) []definer.Route {
		return []definer.Route{
			{Method: "GET", Prefix: "/", Priority: identifier.Urgent, Idempotent: true},
			{Method: "POST", Prefix: "/", Priority: identifier.Normal, Idempotent: idempotent},
		}
	}
	return definer.Preset{
		Name:           "ordinary",
		Domains:        []definer.DomainShare{{Domain: "alfa", PerMille: 1000}},
		RetryAllowance: allowance,
		Services: []definer.Service{
			{Name: "board", Timeout: 5 * clock.Second, Routes: all(false)},
			{Name: "ice", Timeout: 5 * clock.Second, Routes: all(false)},
		},
		Teams: []definer.Team{{Name: testTeam, Rate: 1e8, Burst: 1e8, Weight: 1}},
	}
}

func (w *simulatedNode) change(id string, base identifier.Version) configurer.Change {
	return configurer.Change{ID: configurer.ChangeID("change-" + id), Operator: "test", Wall: w.wall(), Base: base}
}

func (w *simulatedNode) publish(record any) {
	b, err := encoder.Encode(record)
	if err != nil {
		w.fail("encode %T: %v", record, err)
	}
	w.log = append(w.log, b)
}

// withdraw publishes the withdrawal of the other key.
func (w *simulatedNode) withdraw() {
	base := w.state.configurer.Base(configurer.Subject{Kind: configurer.SubjectKey, Name: string(otherKey)})
	w.publish(configurer.WithdrawKey{Change: w.change("w", base), Hash: otherKey})
}

func (w *simulatedNode) wall() clock.Wall { return clock.Wall(1_700_000_000_000 + int64(w.now)) }

func (w *simulatedNode) announce(id identifier.Endpoint, s identifier.Service, slots int) {
	w.apply(&BackendAnnounced{Endpoint: id, Service: s, Slots: slots, ConnectionLimit: 100})
}

// advance simulates the passing of time, with heartbeats and ticks.
func (w *simulatedNode) advance(d clock.Duration) {
	const step = 10 * clock.Millisecond
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(step)
		if w.now%500 < clock.Time(step) {
			for _, id := range slices.Concat(iceEndpoints, boardEndpoints) {
				w.apply(&BackendReported{Endpoint: id})
			}
		}
		w.apply(&Tick{Wall: w.wall()})
	}
}

func (w *simulatedNode) apply(e Event) {
	w.pending = append(w.pending, e)
	for len(w.pending) > 0 {
		next := w.pending[0]
		w.pending = w.pending[1:]
		for _, effect := range w.state.Reduce(next, w.now, nil) {
			w.perform(effect)
		}
	}
}

func (w *simulatedNode) perform(e Effect) {
	switch e := e.(type) {
	case Append:
		w.publish(e.Record)
	case ReadLog:
		w.read(e)
	case Forward:
		w.forwarded(e)
	case Refuse:
		w.refused(e)
	case Replay:
		w.countFinalAnswer(e.Call)
	case Finished:
		w.countFinalAnswer(e.Call)
	case Dispatch:
		w.dispatched(e)
	case RefuseDelivery:
		w.refusedDelivery(e)
	case EndDelivery:
		w.endedDelivery(e)
	case Send:
		w.peer(e.Message)
	}
}

// peer simulates a second node of the failure domain that only acts as witness and answers pings.
func (w *simulatedNode) peer(message any) {
	var answer any
	switch m := message.(type) {
	case claimer.PromiseRequest:
		answer = claimer.Promise{Name: m.Name, Epoch: m.Epoch, Number: m.Number, Given: true}
	case gossiper.Ping:
		answer = gossiper.Ack{Sequence: m.Sequence}
	case deduplicator.BeginRequest, deduplicator.FinishReport, deduplicator.AbandonReport:
		w.fail("peer received %T, but holds no claim", m)
	default:
		return
	}
	w.pending = append(w.pending, &MessageReceived{From: peerNode, Message: answer, Wall: w.wall()})
}

func (w *simulatedNode) read(e ReadLog) {
	r := &RecordsRead{Earliest: 1, Next: identifier.Offset(len(w.log) + 1), Wall: w.wall()}
	for i := int(e.From); i <= len(w.log); i++ {
		r.Records = append(r.Records, LogRecord{Offset: identifier.Offset(i), Data: w.log[i-1]})
	}
	w.pending = append(w.pending, r)
}

func (w *simulatedNode) call(key identifier.KeyHash, service identifier.Service, method string, id identifier.Idempotency, deadline clock.Duration) CallID {
	w.nextCall++
	c := w.nextCall
	w.calls[c] = &callRecord{root: c, key: key, idempotent: method == "GET", idempotency: id}
	w.apply(&CallArrived{
		Call: c, Request: requestOf(c), KeyHash: key, Service: service, Method: method, Path: "/x",
		Idempotency: id, Deadline: deadline, Wall: w.wall(),
	})
	return c
}

func (w *simulatedNode) nestedCall(token Token, root CallID, service identifier.Service, method string) CallID {
	w.nextCall++
	c := w.nextCall
	w.calls[c] = &callRecord{root: root, idempotent: method == "GET"}
	w.apply(&NestedArrived{
		Call: c, Request: requestOf(c), Token: token, Service: service, Method: method, Path: "/x", Wall: w.wall(),
	})
	return c
}

func requestOf(c CallID) identifier.Request { return identifier.Request(fmt.Sprintf("r%d", c)) }

func (w *simulatedNode) forwarded(f Forward) {
	a := w.calls[f.Call]
	a.forwards++
	if a.finalAnswers > 0 {
		w.fail("call %d was forwarded after its final answer", f.Call)
	}
	if a.forwards > 1 && a.runs > 0 && !a.idempotent {
		w.fail("call %d may have run and is not idempotent, yet was sent again", f.Call)
	}
	w.forwards = append(w.forwards, f)
	w.checkRetryAllowance(a.root)
}

// checkRetryAllowance checks that one root request causes at most its retry allowance of further attempts in its whole
// call chain, whatever is lost or refused.
func (w *simulatedNode) checkRetryAllowance(root CallID) {
	retries := 0
	for _, a := range w.calls {
		if a.root == root && a.forwards > 1 {
			retries += a.forwards - 1
		}
	}
	if retries > allowance {
		w.fail("root call %d caused %d retries: more than its allowance of %d", root, retries, allowance)
	}
}

func (w *simulatedNode) refused(e Refuse) {
	a := w.calls[e.Call]
	a.refusal = &e.Refusal
	w.countFinalAnswer(e.Call)
	if e.Refusal.NotRun && a.runs > 0 {
		w.fail("call %d was refused with %s as not run, but ran %d times", e.Call, e.Refusal.Reason, a.runs)
	}
}

func (w *simulatedNode) countFinalAnswer(c CallID) {
	a := w.calls[c]
	a.finalAnswers++
	if a.finalAnswers > 1 {
		w.fail("call %d got %d final answers", c, a.finalAnswers)
	}
}

// deliver delivers a forwarded call to a backend server of this node.
func (w *simulatedNode) deliver(f Forward, s identifier.Service, method string) CallID {
	w.nextCall++
	d := w.nextCall
	token := Token(fmt.Sprintf("t%d", d))
	w.deliveries[d] = &deliveryRecord{call: f.Call, token: token, root: w.calls[f.Call].root}
	w.apply(&DeliveryArrived{
		Delivery: d, From: "a1", Request: requestOf(f.Call), Root: f.Root, Team: f.Team, KeyHash: f.KeyHash, Service: s,
		Endpoint: f.Endpoint, Method: method, Path: "/x", Rank: f.Rank, Deadline: f.Deadline, Allowance: f.Allowance,
		Depth: f.Depth, Attempt: f.Attempt, Idempotent: f.Idempotent, Token: token,
	})
	return d
}

func (w *simulatedNode) dispatched(e Dispatch) {
	d := w.deliveries[e.Delivery]
	w.calls[d.call].runs++
	w.running = append(w.running, e.Delivery)
	w.checkRunsAtMostOnce(w.calls[d.call])
}

// checkRunsAtMostOnce checks that a request with an idempotency id runs at most once, over all of its callers' retries.
func (w *simulatedNode) checkRunsAtMostOnce(a *callRecord) {
	if a.idempotency == "" || a.idempotent {
		return
	}
	runs := 0
	for _, other := range w.calls {
		if other.idempotency == a.idempotency && !other.idempotent {
			runs += other.runs
		}
	}
	if runs > 1 {
		w.fail("idempotency id %s ran %d times", a.idempotency, runs)
	}
}

func (w *simulatedNode) refusedDelivery(e RefuseDelivery) {
	d := w.deliveries[e.Delivery]
	d.ended = true
	tail := e.Tail
	w.pending = append(w.pending, &AnswerEnded{
		Call: d.call, Phase: Answered, Tail: &tail, Replayable: true, Wall: w.wall(),
		Refusal: &RemoteRefusal{Reason: e.Refusal.Reason, NotRun: e.Refusal.NotRun, RetryAfter: e.Refusal.RetryAfter},
	})
}

func (w *simulatedNode) endedDelivery(e EndDelivery) {
	d := w.deliveries[e.Delivery]
	d.ended = true
	tail := e.Tail
	w.pending = append(w.pending, &AnswerEnded{
		Call: d.call, Phase: Answered, Relayed: true, Whole: true, Tail: &tail, Wall: w.wall(),
		Outcome: &RecordedOutcome{Status: 200, Kept: true},
	})
}
