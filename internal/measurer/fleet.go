// Runs the reducers of some dozen nodes in one process, with a simulated network that counts messages. This shows how
// the cost of control messages grows with the fleet, without the noise of real sockets. The network loses nothing and
// delays each message by one step; faults are covered by the tests of other packages.
//
// Example: newFleet(3, 20, 1).run(60*clock.Second) and then loads() gives messages and bytes per node and second.

package measurer

import (
	"fmt"
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// step is the simulated time between two deliveries of messages, and between two ticks of the nodes.
const step = 10 * clock.Millisecond

// wallStart is the wall time at the start of a simulation; any plausible value would do.
const wallStart clock.Wall = 1_790_000_000_000

const (
	maxRecordsPerRead = 500
	// answerBodyBytes is the body size of the answers that are stored for retried requests.
	answerBodyBytes = 300
)

type envelope struct {
	from identifier.Node
	raw  []byte
}

// member is one node of a fleet.
type member struct {
	id     identifier.Node
	domain identifier.FailureDomain
	state  *reducer.State
	inbox  []envelope
	// pendingReads are the reads of the log, and pendingAnswers the forwarded calls, that the next step answers.
	pendingReads   []reducer.ReadLog
	pendingAnswers []reducer.CallID
	effects        []reducer.Effect

	answered       int
	sent, received int
	sentBytes      int
	receivedBytes  int
	bytesByType    map[string]int
	messagesByType map[string]int
}

type fleet struct {
	now          clock.Time
	random       *rand.Rand
	members      []*member
	byAddress    map[string]*member
	log          []reducer.LogRecord
	appends      map[string]int
	nodesCreated int
	lastCall     reducer.CallID
	// withholdAnswers keeps calls in flight by not delivering their answers.
	withholdAnswers bool
	// countingSince is when the traffic counters were last reset.
	countingSince clock.Time
	err           error
}

func newFleet(domains, perDomain int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), byAddress: map[string]*member{}, appends: map[string]int{}}
	for n := range perDomain {
		for d := range domains {
			f.join(domainName(d), n == 0 && d == 0)
		}
	}
	return f
}

func domainName(d int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("region-%d-domain-%02d", d%4, d))
}

// join adds a node; unless it is the first one, its seeds are the first member and a random one.
func (f *fleet) join(domain identifier.FailureDomain, first bool) *member {
	f.nodesCreated++
	id := identifier.Node(fmt.Sprintf("%s-%08x", domain[len(domain)-2:], f.nodesCreated*2654435761))
	address := fmt.Sprintf("10.%d.%d.%d:7400", f.nodesCreated>>16&255, f.nodesCreated>>8&255, f.nodesCreated&255)
	o := reducer.Options{
		Self: id, Domain: domain, Address: address, Seed: uint64(f.nodesCreated), Decode: encoder.Decode,
		Retention: 24 * clock.Hour,
	}
	if !first {
		o.Seeds = []string{f.members[0].addressOf(f), f.members[f.random.IntN(len(f.members))].addressOf(f)}
	}
	m := &member{id: id, domain: domain, state: reducer.New(o)}
	m.resetCounts()
	f.members = append(f.members, m)
	f.byAddress[address] = m
	return m
}

func (m *member) addressOf(f *fleet) string {
	for address, other := range f.byAddress {
		if other == m {
			return address
		}
	}
	return ""
}

func (m *member) resetCounts() {
	m.sent, m.received, m.sentBytes, m.receivedBytes = 0, 0, 0, 0
	m.bytesByType, m.messagesByType = map[string]int{}, map[string]int{}
}

// crash removes a node without a planned stop.
func (f *fleet) crash(i int) {
	delete(f.byAddress, f.members[i].addressOf(f))
	f.members = append(f.members[:i], f.members[i+1:]...)
}

func (f *fleet) wall() clock.Wall {
	return wallStart.Add(f.now.Sub(0))
}

func (f *fleet) run(d clock.Duration) {
	for end := f.now.Add(d); f.now < end && f.err == nil; {
		f.now = f.now.Add(step)
		for _, m := range f.members {
			f.stepMember(m)
		}
	}
}

func (f *fleet) stepMember(m *member) {
	inbox, reads, answers := m.inbox, m.pendingReads, m.pendingAnswers
	m.inbox, m.pendingReads = nil, nil
	for _, e := range inbox {
		message, err := encoder.Decode(e.raw)
		if err != nil {
			f.err = err
			return
		}
		m.received++
		m.receivedBytes += len(e.raw)
		f.apply(m, &reducer.MessageReceived{From: e.from, Message: message, Wall: f.wall()})
	}
	for _, r := range reads {
		f.apply(m, f.readLog(r))
	}
	if f.withholdAnswers {
		answers = nil
	} else {
		m.pendingAnswers = nil
	}
	for _, call := range answers {
		m.answered++
		f.apply(m, &reducer.AnswerEnded{
			Call: call, Phase: reducer.Answered, Relayed: true, Whole: true, Tail: &reducer.Tail{Threshold: identifier.MaxRank, Headroom: 200},
			Outcome: &reducer.RecordedOutcome{Status: 200, Body: make([]byte, answerBodyBytes), Kept: true}, Wall: f.wall(),
		})
	}
	f.apply(m, &reducer.Tick{Wall: f.wall()})
}

func (f *fleet) readLog(r reducer.ReadLog) *reducer.RecordsRead {
	start := min(max(int(r.From)-1, 0), len(f.log))
	end := min(start+maxRecordsPerRead, len(f.log))
	return &reducer.RecordsRead{
		Records: f.log[start:end], Earliest: 1, Next: identifier.Offset(len(f.log) + 1), Asked: r.Asked,
		Wall: f.wall(),
	}
}

// apply gives a node an event and carries out what follows from it.
func (f *fleet) apply(m *member, event reducer.Event) {
	m.effects = m.state.Reduce(event, f.now, m.effects[:0])
	for _, e := range m.effects {
		switch e := e.(type) {
		case reducer.Send:
			f.send(m, e)
		case reducer.Append:
			f.append(e.Record)
		case reducer.ReadLog:
			m.pendingReads = append(m.pendingReads, e)
		case reducer.Forward:
			m.pendingAnswers = append(m.pendingAnswers, e.Call)
		}
	}
}

func (f *fleet) send(m *member, e reducer.Send) {
	raw, err := encoder.Encode(e.Message)
	if err != nil {
		f.err = err
		return
	}
	m.sent++
	m.sentBytes += len(raw)
	kind := fmt.Sprintf("%T", e.Message)
	m.bytesByType[kind] += len(raw)
	m.messagesByType[kind]++
	if to := f.byAddress[e.Address]; to != nil && (e.To == "" || e.To == to.id) {
		to.inbox = append(to.inbox, envelope{from: m.id, raw: raw})
	}
}

func (f *fleet) append(record any) {
	raw, err := encoder.Encode(record)
	if err != nil {
		f.err = err
		return
	}
	f.appends[fmt.Sprintf("%T", record)]++
	offset := identifier.Offset(len(f.log) + 1)
	f.log = append(f.log, reducer.LogRecord{Offset: offset, Data: raw})
}

// startCounting resets the traffic counters, so that the traffic of the fleet's start isn't measured.
func (f *fleet) startCounting() {
	f.countingSince = f.now
	clear(f.appends)
	for _, m := range f.members {
		m.resetCounts()
	}
}

// load is the number of messages and bytes that one node sends and receives a second.
type load struct {
	messages, bytes float64
}

// loads returns the mean load of the nodes and the load of the node with the most bytes.
func (f *fleet) loads() (mean, busiest load) {
	seconds := float64(f.now.Sub(f.countingSince)) / float64(clock.Second)
	for _, m := range f.members {
		l := load{
			messages: float64(m.sent+m.received) / seconds,
			bytes:    float64(m.sentBytes+m.receivedBytes) / seconds,
		}
		mean.messages += l.messages / float64(len(f.members))
		mean.bytes += l.bytes / float64(len(f.members))
		if l.bytes > busiest.bytes {
			busiest = l
		}
	}
	return mean, busiest
}
