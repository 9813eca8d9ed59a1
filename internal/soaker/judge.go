package soaker

// The checks use only what callers sent and received, what backend servers ran, and which changes were acknowledged to
// operators. Each promise is one named check; none of them queries a node.
//
// Example: an order that two backend servers ran gives Breach{Check: "ranTwice", ...}.

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// Sent is a request as its caller saw it; the caller of a nested call is an endpoint.
type Sent struct {
	ID string
	// Node is the node at which the request began.
	Node       string
	Path       string
	Body       string
	Team       string
	Key        string
	Idempotent bool
	At         time.Time
	// Answered is when the answer arrived, or the caller timed out.
	Answered time.Time
	Answer   standin.Answer
	// FirstInLine is when the last answer before its own had arrived on its connection, or when it was sent, if there was
	// none. It is zero if an answer before it said that the connection closes, and if the caller cannot tell.
	FirstInLine time.Time
}

// Breach is one case of a broken promise.
type Breach struct {
	Check  string
	Detail string
}

// Terms are the limits that the promises state.
type Terms struct {
	// Revoke is how long a withdrawn key may still work, Drain how long a leaving endpoint may still receive requests.
	Revoke, Drain time.Duration
	// Window, Excess and Slack bound the excess of a team over its rate: in any window it may run rate×window+burst
	// calls, raised by the ratio Excess and then by Slack calls.
	Window time.Duration
	Excess float64
	Slack  float64
	// Within LimitWindow, an endpoint that names a rate limit may get LimitExcess times what the limit allows, and
	// LimitSlack requests more, from nodes that passed on an answer with it LimitReaction before. This binds from
	// Contact after the endpoint first named a limit.
	LimitWindow, LimitReaction, Contact time.Duration
	LimitExcess, LimitSlack             float64
	// Within RetryWindow, the arrivals of a service's requests beyond the first of each may be RetryRatio times the
	// requests for the service, and RetrySlack more.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
	// MinRecoveredRatio is the ratio of requests that must be served once all faults are over and recoveryGrace has
	// passed.
	MinRecoveredRatio float64
	// Grace is how long a planned stop may take. A request sent within Contact of its begin whose endpoint is still at work in
	// the last sixth of Grace may be cut. LossSlack is how long after its sending a request that was read needs no answer.
	Grace, LossSlack time.Duration
	// ApplyWithin is how soon a configuration has to be in force at nodes in touch, MaxStretch how much later while the store drops
	// history, and RollbackSlack how long after a version's first effect an older one may still act.
	ApplyWithin, MaxStretch, RollbackSlack time.Duration
	// MaxEnds is how many endpoints may end under a request before it is offered no more.
	MaxEnds int
}

// Record collects the events of a soak; it is safe for concurrent use.
type Record struct {
	mu        sync.Mutex
	sent      map[string]Sent
	runs      []standin.Run
	withdrawn map[string]time.Time
	issued    map[string]string
	rates     map[string]rate
	// leaveSpans are the times in which an endpoint was acknowledged to be leaving.
	leaveSpans map[string][]span
	exits      []string
	// arrivals, limits and starts are kept by endpoint, excuses by node.
	arrivals map[string][]standin.Arrival
	limits   map[string][]limitChange
	starts   map[string][]time.Time
	excuses  map[string][]span
	// stops are the planned stops of each node, from SIGTERM to the exit. disruptions are the unplanned ones of each node and
	// endpoint.
	stops, disruptions map[string][]span
	// ended holds when each run ended, by request and endpoint.
	ended map[[2]string]time.Time
	// spoiled are the requests whose answers never arrived whole, received the bodies that were read after the answer.
	spoiled  map[string]bool
	received map[string]string
	// versions are the configurations in order. storeInstabilities are when the store dropped history, nodeStarts when processes
	// of nodes started, and ends when a request ended endpoints.
	versions           []version
	storeInstabilities []time.Time
	nodeStarts         map[string][]time.Time
	ends               map[string][]time.Time
	// faultsEnded is when the last fault ended; zero while faults go on. maxLateness is how late the soak's own timers fired after it.
	faultsEnded time.Time
	maxLateness time.Duration
}

type rate struct{ perSecond, burst float64 }

// span is a time during which something lasted; a zero end means that it still does.
type span struct{ from, to time.Time }

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		sent: map[string]Sent{}, withdrawn: map[string]time.Time{}, issued: map[string]string{}, rates: map[string]rate{},
		leaveSpans: map[string][]span{},
		arrivals:   map[string][]standin.Arrival{},
		limits:     map[string][]limitChange{},
		starts:     map[string][]time.Time{},
		excuses:    map[string][]span{},

		stops: map[string][]span{}, disruptions: map[string][]span{}, ended: map[[2]string]time.Time{},
		spoiled: map[string]bool{}, received: map[string]string{},
		nodeStarts: map[string][]time.Time{}, ends: map[string][]time.Time{},
	}
}

// AddRequest records a request that was answered or timed out.
func (r *Record) AddRequest(s Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[s.ID] = s
}

// AddRun records a run at a backend server.
func (r *Record) AddRun(run standin.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// AddKey records that a key belongs to a team with a rate; 0 calls a second mean that the rate is not limited.
func (r *Record) AddKey(key, team string, perSecond, burst float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.issued[key] = team
	r.rates[team] = rate{perSecond: perSecond, burst: burst}
}

// AddWithdrawal records that the store has acknowledged the withdrawal of a key.
func (r *Record) AddWithdrawal(key string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn[key] = at
}

// AddLeave records that a node acknowledged an endpoint's leave.
func (r *Record) AddLeave(instance string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := r.leaveSpans[instance]
	if n := len(spans); n == 0 || !spans[n-1].to.IsZero() {
		r.leaveSpans[instance] = append(spans, span{from: at})
	}
}

// AddReturn records that an endpoint is about to announce itself again.
func (r *Record) AddReturn(instance string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if spans := r.leaveSpans[instance]; len(spans) > 0 && spans[len(spans)-1].to.IsZero() {
		spans[len(spans)-1].to = at
	}
}

// AddExit records that a process exited without being told to.
func (r *Record) AddExit(detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exits = append(r.exits, detail)
}

// SetFaultsEnded records that all faults are over.
func (r *Record) SetFaultsEnded(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultsEnded = at
}

// Counts returns how many requests were sent, answered with success, and run.
func (r *Record) Counts() (sent, served, runs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sent {
		if s.Answer.Status/100 == 2 {
			served++
		}
	}
	return len(r.sent), served, len(r.runs)
}

// CheckNames returns the names of all checks.
func CheckNames() []string {
	return []string{
		"wrongAnswer", "ranTwice", "falseNotRun", "ranForNobody", "wrongTeam", "keySeen", "withdrawnKey", "rateExceeded", "afterLeaving",
		"limitExceeded", "afterLeavingAnswer", "withoutRetryAfter", "retriesExceeded", "cutByStop", "olderConfiguration",
		"configurationRegressed", "addedRouteNotServed", "splitOff", "pastTimeout", "offeredAfterEnds", "healthyQuarantined", "damagedBody",
		"notRecovered", "ended",
	}
}

// Judge returns the breaches found, at most maxBreachesPerCheck of each check; the last of these says how many more there are.
func (r *Record) Judge(t Terms) []Breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Breach
	for _, check := range []func(Terms) []Breach{
		r.wrongAnswers, r.ranTwice, r.falseNotRun, r.unknownRuns, r.keyBreaches, r.rateExceeded, r.afterLeaving,
		r.limitExceeded, r.afterLeavingAnswer, r.withoutRetryAfter, r.retriesExceeded, r.notRecovered, r.unexpectedExits,
		r.cutByStop, r.damagedBodies, r.olderConfigurations, r.addedNotServed, r.splitOff, r.pastTimeout, r.offeredAfterEnds,
		r.healthyQuarantined,
	} {
		found := check(t)
		if more := len(found) - maxBreachesPerCheck; more > 0 {
			found = found[:maxBreachesPerCheck]
			found[maxBreachesPerCheck-1].Detail += fmt.Sprintf("; %d more", more)
		}
		all = append(all, found...)
	}
	return all
}

// maxBreachesPerCheck bounds the breaches that are reported of one check.
const maxBreachesPerCheck = 5

func (r *Record) wrongAnswers(Terms) (found []Breach) {
	for _, s := range r.sent {
		if s.Answer.Status/100 == 2 && !s.Answer.Correct {
			found = append(found, Breach{"wrongAnswer", fmt.Sprintf("%s got %d with another body or signature", s.ID, s.Answer.Status)})
		}
	}
	return found
}

func (r *Record) runsOf() map[string][]standin.Run {
	runs := map[string][]standin.Run{}
	for _, run := range r.runs {
		runs[run.Request] = append(runs[run.Request], run)
	}
	return runs
}

func (r *Record) ranTwice(Terms) (found []Breach) {
	for id, runs := range r.runsOf() {
		if s, ok := r.sent[id]; ok && !s.Idempotent && len(runs) > 1 {
			found = append(found, Breach{"ranTwice", fmt.Sprintf("%s ran at %s and %s", id, runs[0].Instance, runs[1].Instance)})
		}
	}
	return found
}

func (r *Record) falseNotRun(Terms) (found []Breach) {
	runs := r.runsOf()
	for id, s := range r.sent {
		if !s.Idempotent && s.Answer.NotRun() && len(runs[id]) > 0 {
			found = append(found, Breach{"falseNotRun", fmt.Sprintf("%s was answered %d and ran at %s", id, s.Answer.Status, runs[id][0].Instance)})
		}
	}
	return found
}

// unknownRuns finds runs without a request of a caller, and runs for a team other than the key's. Nested calls have no
// caller's request either, but carry no key and so run without a team.
func (r *Record) unknownRuns(Terms) (found []Breach) {
	for _, run := range r.runs {
		s, ok := r.sent[run.Request]
		switch {
		case !ok && run.Team != "":
			found = append(found, Breach{"ranForNobody", fmt.Sprintf("%s ran at %s", run.Request, run.Instance)})
		case ok && run.Team != r.issued[s.Key]:
			found = append(found, Breach{"wrongTeam", fmt.Sprintf("%s of %q ran for %q", run.Request, r.issued[s.Key], run.Team)})
		}
	}
	return found
}

func (r *Record) keyBreaches(t Terms) (found []Breach) {
	for _, run := range r.runs {
		if run.Key != "" {
			found = append(found, Breach{"keySeen", fmt.Sprintf("%s reached %s with a key", run.Request, run.Instance)})
		}
		s, ok := r.sent[run.Request]
		if !ok {
			continue
		}
		if at, isWithdrawn := r.withdrawn[s.Key]; isWithdrawn && s.At.Sub(at) > t.Revoke {
			found = append(found, Breach{"withdrawnKey", fmt.Sprintf("%s was sent %s after its key was withdrawn", run.Request, s.At.Sub(at))})
		}
	}
	return found
}

// rateExceeded counts the runs by their start time, in every window that ends with a run.
func (r *Record) rateExceeded(t Terms) (found []Breach) {
	times := map[string][]time.Time{}
	for _, run := range r.runs {
		if run.Team != "" {
			times[run.Team] = append(times[run.Team], run.At)
		}
	}
	for team, at := range times {
		bought := r.rates[team]
		if bought.perSecond == 0 {
			continue
		}
		slices.SortFunc(at, time.Time.Compare)
		allowed := (bought.perSecond*t.Window.Seconds()+bought.burst)*(1+t.Excess) + t.Slack
		first := 0
		for last := range at {
			for at[last].Sub(at[first]) >= t.Window {
				first++
			}
			if count := last - first + 1; float64(count) > allowed {
				found = append(found, Breach{"rateExceeded", fmt.Sprintf("%d requests of %s ran in the %s to %s, %.0f allowed",
					count, team, t.Window, at[last].UTC().Format("15:04:05.000"), allowed)})
				break
			}
		}
	}
	return found
}

func (r *Record) afterLeaving(t Terms) (found []Breach) {
	for _, run := range r.runs {
		s, ok := r.sent[run.Request]
		if !ok {
			continue
		}
		for _, leave := range r.leaveSpans[run.Instance] {
			returned := !leave.to.IsZero() && run.At.After(leave.to)
			if !returned && s.At.After(leave.from.Add(t.Drain)) {
				found = append(found, Breach{"afterLeaving", fmt.Sprintf("%s reached %s, %s after it left", s.ID, run.Instance, run.At.Sub(leave.from))})
			}
		}
	}
	return found
}

func (r *Record) unexpectedExits(Terms) (found []Breach) {
	for _, e := range r.exits {
		found = append(found, Breach{"ended", e})
	}
	return found
}
