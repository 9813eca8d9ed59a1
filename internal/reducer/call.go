// A call arrives either from a caller with a key (a root call) or from a backend server with the token of the delivery
// that it is nested in. Both get their route and limits in applyRules. A root call then spends from its team's rate and
// gets its rank; a nested call has the rank of its parent. Both are checked against the threshold, and a call that must
// not run twice requests a permit from the owner of its idempotency id.
//
// Example: CallArrived → rank 0x4123 → slice spent → Forward to endpoint "ice-2" at node "a2".

package reducer

import (
	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// maxDepth is the limit for nested calls; it stops services that call each other in a cycle.
const maxDepth = 32

// maxExcluded is the upper bound of the number of failed endpoints that a call excludes from its next attempts.
const maxExcluded = 4

type call struct {
	id          CallID
	request     identifier.Request
	root        identifier.Request
	team        identifier.Team
	keyHash     identifier.KeyHash
	service     identifier.Service
	method      string
	path        string
	route       admitter.Route
	priority    identifier.Priority
	rank        identifier.Rank
	deadline    clock.Time
	idempotent  bool
	idempotency identifier.Idempotency
	maxBody     int64
	depth       uint8

	// parent is the delivery that a nested call belongs to, allowanceFromParent the part of the parent's retry allowance
	// that the call received.
	parent              *delivery
	allowanceFromParent uint8

	budget           retrier.Budget
	attemptAllowance uint8
	attempt          uint16
	endpoint         identifier.Endpoint
	// lastEndpoint is the endpoint of the previous attempt.
	lastEndpoint identifier.Endpoint
	// lastReason is the reason with which the previous attempt was refused, if it was.
	lastReason Reason
	sentAt     clock.Time
	excluded   []identifier.Endpoint
	// mayHaveRun is set once an attempt may have started at a backend server.
	mayHaveRun bool
	// hasPermit is set while the call has the permit of the owner of its idempotency id.
	hasPermit bool
	// awaitingOwner is set while the owner's answer to the permit request is pending.
	awaitingOwner bool
	// endpointWaitUntil is the time up to which the call waits for endpoints of its service; zero if it has not waited.
	endpointWaitUntil clock.Time
	payment           granter.Paid
	// passedEntryGate is set once the entry gate has admitted the call.
	passedEntryGate bool
}

func (s *State) callArrived(e *CallArrived) {
	s.wall = e.Wall
	s.counters.Entered++
	c := &call{
		id:          e.Call,
		request:     e.Request,
		root:        e.Request,
		keyHash:     e.KeyHash,
		service:     e.Service,
		method:      e.Method,
		path:        e.Path,
		idempotency: e.Idempotency,
	}
	s.calls[c.id] = c
	team, ok := s.configurer.Resolve(e.KeyHash)
	if !ok {
		s.refuseUnknown(c, Refusal{Reason: UnknownKey})
		return
	}
	c.team = team
	if s.refuseIfNotReady(c) {
		return
	}
	if !s.applyRules(c, e.Deadline, e.ContentLength) {
		return
	}
	if !s.rules.teams[c.team] {
		detail := "team " + string(c.team) + " has no rate in preset " + string(s.rules.preset.Name)
		s.refuse(c, Refusal{Reason: RateExceeded, RetryAfter: retryAfterNoRate, Detail: detail})
		return
	}
	c.budget = retrier.NewBudget(s.rules.preset.RetryAllowance)
	s.spendRate(c)
}

// retryAfterNoRate is the retry delay for refusals that only a switch to another preset can end. It is long, since
// operators switch presets only a few times a day.
const retryAfterNoRate = 10 * clock.Second

// rankAndAdmit assigns a rank to a root call that was paid for from its team's rate, and checks it against the
// threshold. Payment comes first: otherwise calls of low priority would be shed before they use up any rate, and a team
// far above its rate could spend all of it on urgent calls, at the cost of teams that stay within their rate.
func (s *State) rankAndAdmit(c *call) {
	s.fairness.CountCall(c.team, s.now)
	c.rank = identifier.MakeRank(c.priority, s.fairness.Overuse(c.team, s.now), rootHash(c))
	c.passedEntryGate = s.entryGate.Admit(c.rank, s.now)
	if !c.passedEntryGate || !s.thresholds.AdmitRoute(c.service, c.route, c.rank, s.now) {
		s.refuse(c, Refusal{Reason: Shed, RetryAfter: s.randomRetryAfter()})
		return
	}
	s.requestPermit(c)
}

// rootHash returns the hash from which the rank of a root call is made. A caller's retry with the same idempotency id
// gets the same hash, so that a retry does not improve its rank.
func rootHash(c *call) uint64 {
	if c.idempotency != "" {
		return xxh3.HashString(string(c.idempotency))
	}
	return xxh3.HashString(string(c.root))
}

func (s *State) nestedArrived(e *NestedArrived) {
	s.wall = e.Wall
	s.counters.Nested++
	c := &call{
		id:          e.Call,
		request:     e.Request,
		service:     e.Service,
		method:      e.Method,
		path:        e.Path,
		idempotency: e.Idempotency,
	}
	s.calls[c.id] = c
	d, ok := s.tokens[e.Token]
	if !ok || e.Token == "" {
		s.refuse(c, Refusal{Reason: UnknownToken})
		return
	}
	c.joinParent(d)
	if c.depth > maxDepth {
		s.refuse(c, Refusal{Reason: TooDeep})
		return
	}
	if s.rules == nil {
		s.refuse(c, Refusal{Reason: NoPreset, RetryAfter: s.randomRetryAfter()})
		return
	}
	if !s.applyRules(c, e.Deadline, e.ContentLength) {
		return
	}
	c.deadline = min(c.deadline, d.deadline)
	c.allowanceFromParent = d.budget.Portion()
	c.budget = retrier.NewBudget(c.allowanceFromParent)
	if !s.thresholds.AdmitRoute(c.service, c.route, c.rank, s.now) {
		d.learnThreshold(c, s.thresholds.ThresholdRoute(c.service, c.route, s.now), s.now)
		s.refuse(c, Refusal{Reason: Shed, RetryAfter: s.randomRetryAfter()})
		return
	}
	s.requestPermit(c)
}

// joinParent makes a nested call part of its parent delivery: it takes its team, rank and root request from there and
// not from the backend server, which therefore can't act for another team.
func (c *call) joinParent(d *delivery) {
	c.parent = d
	c.root = d.root
	c.team = d.team
	c.rank = d.rank
	c.depth = d.depth + 1
	d.nestedCalls++
}

// maxFinalAge is the freshness up to which a refusal may be final: a change is in force everywhere within this time, so that what
// is unknown here was unknown when the call was sent.
const maxFinalAge = 4 * clock.Second

// refuseUnknown refuses a call whose key or service this node does not know. While a newer configuration may know it, the reason
// is not the given one, since callers treat that as final.
func (s *State) refuseUnknown(c *call, r Refusal) {
	switch {
	case s.stillReading():
		r = Refusal{Reason: NoPreset, RetryAfter: s.randomRetryAfter(), Detail: "this node is still reading the configuration"}
	case s.configurer.Freshness(s.now) > maxFinalAge:
		r = Refusal{Reason: NoPreset, RetryAfter: s.randomRetryAfter(), Detail: "no news of the configuration for too long"}
	}
	s.refuse(c, r)
}

// stillReading reports whether this node, after its start, has not yet read the configuration to the end. What it has
// read so far may be outdated.
func (s *State) stillReading() bool { return s.configurer.Freshness(s.now) >= configurer.NoContact }

func (s *State) refuseIfNotReady(c *call) bool {
	switch {
	case s.rules == nil:
		s.refuse(c, Refusal{Reason: NoPreset, RetryAfter: s.randomRetryAfter()})
	case s.stillReading():
		s.refuse(c, Refusal{Reason: NoPreset, RetryAfter: s.randomRetryAfter(), Detail: "this node is still reading the configuration"})
	case !s.configurer.MayServe(s.now):
		s.refuse(c, Refusal{Reason: NoPreset, RetryAfter: s.randomRetryAfter(), Detail: "no news of the configuration for too long"})
	default:
		return false
	}
	return true
}

// applyRules looks up the rules for the call and sets its route, limits and deadline. It returns false if it has
// refused the call.
func (s *State) applyRules(c *call, deadline clock.Duration, length int64) bool {
	r, ok := s.rules.services[c.service]
	if !ok {
		s.refuseUnknown(c, Refusal{Reason: UnknownService, Detail: string(c.service)})
		return false
	}
	if r.maxBody > 0 && length > r.maxBody {
		s.refuse(c, Refusal{Reason: BodyTooLarge})
		return false
	}
	m := r.match(c.method, c.path)
	c.route = m.route
	c.priority = m.priority
	c.idempotent = m.idempotent
	c.maxBody = r.maxBody
	if deadline == 0 || deadline > r.timeout {
		deadline = r.timeout
	}
	c.deadline = s.now.Add(deadline)
	return true
}

// randomRetryAfter returns a random retry delay: if refused callers all retried at the same moment, they would cause the
// next overload.
func (s *State) randomRetryAfter() clock.Duration {
	const least, spread = 500, 1000
	return clock.Duration(least + s.rand.Int64N(spread))
}

func (s *State) refuse(c *call, r Refusal) {
	r.NotRun = !c.mayHaveRun
	r.DecidedBy = orNode(r.DecidedBy, s.options.Self)
	r.Version = s.configurer.Version()
	if r.Reason == EndpointFull || r.Reason == EndpointLeaving {
		r.Reason = Shed
	}
	s.countRefusal(r.Reason)
	s.record(c, string(r.Reason), r.DecidedBy)
	s.emit(Refuse{Call: c.id, Refusal: r})
	s.forgetCall(c)
}

func orNode(n, fallback identifier.Node) identifier.Node {
	if n == "" {
		return fallback
	}
	return n
}

func (s *State) countRefusal(r Reason) {
	s.counters.Refused[r]++
}

// forgetCall removes a call from this node and returns its unused retry allowance to the delivery that it is nested in.
func (s *State) forgetCall(c *call) {
	if c.passedEntryGate {
		s.entryGate.Served(s.now)
	}
	if c.parent != nil {
		c.parent.budget.Return(c.budget.Left(), c.allowanceFromParent)
		c.parent.nestedCalls--
	}
	delete(s.calls, c.id)
}

func (s *State) callCancelled(e *CallCancelled) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	if c.endpoint != "" {
		s.endAttempt(c, router.Cancelled, nil)
		c.mayHaveRun = true
	}
	s.abandonPermit(c)
	s.record(c, string(Cancelled), s.options.Self)
	s.forgetCall(c)
}
