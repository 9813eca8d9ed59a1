package soaker

// Faults that spoil answers: the endpoints of a service, and that of orders, send a part of their answers again, cut them short,
// leave out their length, send them early, or send bytes without an end. They decline a part of the requests meanwhile, so that
// requests are offered again under the same id. More orders are sent than without these faults, some with long bodies.
//
// Example: for 3 s i-1 and i-4 decline 0.5 of the orders and send 0.4 of their answers again before the next one.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// spoiledAnswers is what endpoints do to a part of their answers.
type spoiledAnswers struct {
	fault          standin.AnswerFault
	part, declined float64
}

func answerFault(name string, f standin.AnswerFault, minPart, maxPart float64) fault {
	return fault{name, func(fleet *fleet, n *node, d time.Duration) error {
		random := fleet.randomFor(n, d)
		s := spoiledAnswers{
			fault:    f,
			part:     minPart + random.Float64()*(maxPart-minPart),
			declined: minDeclined + random.Float64()*(maxDeclined-minDeclined),
		}
		for _, other := range fleet.nodes {
			if other.service == n.service || other.service == orderService {
				other.condition.setSpoiled(s)
				defer other.condition.setSpoiled(spoiledAnswers{})
			}
		}
		time.Sleep(minLoadTime + d)
		return nil
	}}
}

// answerFaults are the faults that spoil answers.
var answerFaults = []fault{
	answerFault("answersCopiedAtOnce", standin.CopiedAtOnce, 0.3, 1),
	answerFault("answersCopiedLate", standin.CopiedLate, 0.3, 1),
	answerFault("answersCopiedTwoLater", standin.CopiedTwoLater, 0.3, 1),
	answerFault("copiesCutShort", standin.CopyCutShort, 0.3, 1),
	answerFault("answersCutShort", standin.CutShort, 0.05, 0.3),
	answerFault("answersCutOpen", standin.CutOpen, 0.02, 0.1),
	answerFault("answersWithoutLength", standin.WithoutLength, 0.1, 0.5),
	answerFault("answersEarly", standin.Early, 0.3, 1),
	answerFault("endlessHeads", standin.EndlessHead, 0.01, 0.05),
	answerFault("endlessBodies", standin.EndlessBody, 0.01, 0.05),
	answerFault("answersSpoiledInAllWays", anyFault, 0.1, 0.5),
}

// anyFault stands for all faults, one of which is drawn for each answer.
const anyFault = standin.EndlessBody + 1

func (c *condition) setSpoiled(s spoiledAnswers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spoiled = s
}

// drawFault returns the fault of one answer.
func (s spoiledAnswers) drawFault() standin.AnswerFault {
	switch {
	case rand.Float64() >= s.part:
		return standin.Sound
	case s.fault == anyFault:
		return standin.CopiedAtOnce + standin.AnswerFault(rand.IntN(int(anyFault-standin.CopiedAtOnce)))
	default:
		return s.fault
	}
}

const (
	// orderInterval is the time between two orders of the caller that sends nothing else, of which longBodyPart have a body
	// of up to maxLongBody bytes that nodes do not buffer.
	orderInterval = 50 * time.Millisecond
	longBodyPart  = 0.2
	minLongBody   = 20 << 10
	maxLongBody   = 60 << 10
	// orderingCaller is the number of that caller at its node.
	orderingCaller = callersPerNode
	orderingSeed   = 20_000
)

// startOrderingCaller starts the caller at the node with the given number that sends orders only.
func (f *fleet) startOrderingCaller(ctx context.Context, n *node, number int, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(f.options.Seed, uint64(orderingSeed+number)))
	running.Go(func() { f.runCaller(ctx, n, orderingCaller, f.interval(orderInterval), random, f.drawOrder) })
}

func (f *fleet) drawOrder(random *rand.Rand, address, id string) (q standin.Request, team string, idempotent bool) {
	q = standin.Request{
		Address: address, Host: host, ID: id, Key: steadyKey, Path: "/order/x", Body: "order " + id, Timeout: callTimeout,
	}
	if random.Float64() < longBodyPart {
		q.Body += strings.Repeat("x", minLongBody+random.IntN(maxLongBody-minLongBody))
		q.Chunked = random.IntN(2) == 0
	}
	return q, "steady", false
}

// AddSpoiled records that the endpoint's answer to a request never arrives whole.
func (r *Record) AddSpoiled(a standin.Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoiled[a.Request] = true
}

// AddReceived records the body of a request that was answered before its body was read.
func (r *Record) AddReceived(request, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[request] = body
}

// damagedBodies finds requests that an endpoint ran or read on with another body than their caller sent.
func (r *Record) damagedBodies(Terms) (found []Breach) {
	check := func(request, body, instance string) {
		if s, ok := r.sent[request]; ok && s.Body != "" && body != s.Body {
			found = append(found, Breach{"damagedBody", fmt.Sprintf("%s of %d bytes reached %s with %d", request, len(s.Body), instance, len(body))})
		}
	}
	for _, run := range r.runs {
		if _, early := r.received[run.Request]; run.Body != "" && !early {
			check(run.Request, run.Body, run.Instance)
		}
	}
	for request, body := range r.received {
		check(request, body, "an endpoint that answers early")
	}
	return found
}
