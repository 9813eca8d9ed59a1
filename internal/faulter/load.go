// The load is open-loop: the times of calls don't depend on the fleet's answers. A booking that was refused as not run,
// or whose answer was lost, is retried with the same idempotency id at another node, as a careful caller does; one in
// ten is sent to two nodes at once, as a careless caller does.
//
// Example: the first attempt at VM 2 gets no answer, the second at VM 3 gets the recorded one: one run, two attempts.

package faulter

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

const (
	attemptTimeout = 2500 * time.Millisecond
	maxAttempts    = 4
	firstBackoff   = 100 * time.Millisecond
	// duplicateSendRatio is the ratio of bookings that are sent twice at once.
	duplicateSendRatio = 0.1
)

// attempt is one attempt of an operation, as its caller saw it.
type attempt struct {
	// id is sent with the attempt; unlike the request id, its caller knows it without an answer.
	id       string
	sent     time.Time
	done     time.Time
	node     int
	request  string
	status   int
	reason   string
	notRun   bool
	replayed bool
	// notConnected means that the connection failed, so nothing was sent.
	notConnected bool
}

func (a attempt) succeeded() bool { return a.status == http.StatusOK }

// operation is one logical call of a team, with all its attempts.
type operation struct {
	team     identifier.Team
	at       time.Duration
	id       string
	attempts []attempt
}

func (o operation) succeeded() bool {
	for _, a := range o.attempts {
		if a.succeeded() {
			return true
		}
	}
	return false
}

// nodeChoice selects the VM whose node a call is sent to.
type nodeChoice func(at time.Duration, r *rand.Rand) int

func anyNode(_ time.Duration, r *rand.Rand) int { return r.IntN(vms) }

func oneNode(time.Duration, *rand.Rand) int { return 1 }

func nodesOfTwoDomains(_ time.Duration, r *rand.Rand) int { return r.IntN(2) }

func rotatingNode(at time.Duration, _ *rand.Rand) int { return int(at/time.Second) % vms }

// load sends the calls of all teams for a time and collects their results.
type load struct {
	run    *run
	client *http.Client
	start  time.Time
	length time.Duration

	mu         sync.Mutex
	operations []operation
	group      sync.WaitGroup
}

func newLoad(r *run, length time.Duration) *load {
	return &load{
		run:    r,
		length: length,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}},
	}
}

// send returns after the last answer.
func (l *load) send(ctx context.Context) {
	l.start = time.Now()
	var streams sync.WaitGroup
	for i, t := range l.run.scenario.teams {
		r := rand.New(rand.NewPCG(l.run.seed, uint64(i)))
		streams.Go(func() { l.stream(ctx, t, r) })
	}
	streams.Wait()
	l.group.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) stream(ctx context.Context, t teamPlan, r *rand.Rand) {
	var at time.Duration
	for {
		at += time.Duration(r.ExpFloat64() / (t.rate * t.loadRatio) * float64(time.Second))
		if at >= l.length || !clock.SleepUntil(ctx, l.start.Add(at)) {
			return
		}
		o := operation{team: t.name, at: at}
		if r.Float64() < t.bookingRatio {
			o.id = uuid.Must(uuid.NewV7()).String()
		}
		node := l.run.scenario.chooseNode(at, r)
		sendTwice := o.id != "" && r.Float64() < duplicateSendRatio
		l.group.Go(func() { l.runOperation(ctx, o, node, sendTwice) })
	}
}

func (l *load) runOperation(ctx context.Context, o operation, node int, sendTwice bool) {
	var second attempt
	var group sync.WaitGroup
	if sendTwice {
		// The loop below changes o meanwhile.
		from, sent := (node+1)%vms, o
		group.Go(func() { second, _ = l.attemptAtReachableNode(ctx, sent, from) })
	}
	for i := range maxAttempts {
		var a attempt
		a, node = l.attemptAtReachableNode(ctx, o, node)
		o.attempts = append(o.attempts, a)
		if o.id == "" || a.succeeded() || isFinal(a.reason) {
			break
		}
		time.Sleep(firstBackoff << i)
		node = (node + 1) % vms
	}
	group.Wait()
	if sendTwice {
		o.attempts = append(o.attempts, second)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations = append(l.operations, o)
}

// isFinal reports whether a careful caller stops retrying: the team is over its rate, or a retry can't reveal the
// outcome.
func isFinal(reason string) bool { return reason == "rateExceeded" || reason == "outcomeUnknown" }

// attemptAtReachableNode skips nodes that refuse the connection, as a client with a list of addresses does.
func (l *load) attemptAtReachableNode(ctx context.Context, o operation, node int) (attempt, int) {
	for range vms {
		a := l.attemptAt(ctx, o, node)
		if !a.notConnected {
			return a, node
		}
		node = (node + 1) % vms
	}
	return attempt{node: node}, node
}

func (l *load) attemptAt(ctx context.Context, o operation, node int) attempt {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	a := attempt{id: uuid.Must(uuid.NewV7()).String(), sent: time.Now(), node: node}
	method, path := http.MethodGet, readingPath
	if o.id != "" {
		method, path = http.MethodPost, bookingPath
	}
	req, err := http.NewRequestWithContext(ctx, method, l.run.callers[node]+path, http.NoBody)
	if err != nil {
		return a
	}
	if o.id != "" {
		req.Header.Set(responder.IdempotencyHeader, o.id)
	}
	req.Header.Set(responder.AttemptHeader, a.id)
	req.Header.Set("Authorization", "Bearer "+l.run.fleet.Keys[o.team])
	l.exchange(req, &a)
	a.done = time.Now()
	return a
}

func (l *load) exchange(req *http.Request, a *attempt) {
	resp, err := l.client.Do(req)
	if err != nil {
		var o *net.OpError
		a.notConnected = errors.As(err, &o) && o.Op == "dial"
		return
	}
	defer resp.Body.Close()
	a.request = resp.Header.Get(deliverer.RequestIDHeader)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	a.status = resp.StatusCode
	a.replayed = resp.Header.Get("Idempotent-Replayed") != ""
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		return
	}
	var p struct {
		Reason string
		NotRun bool
	}
	if json.Unmarshal(body, &p) == nil {
		a.reason = p.Reason
		a.notRun = p.NotRun
	}
}
