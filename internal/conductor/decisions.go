package conductor

// After an incident, an engineer has to know which requests an older configuration decided, how recently it had been proved to
// be the newest, and how it had arrived. Each refusal for a missing route or key carries this. The last decisions are kept, so
// that the next configuration shows which of them it would have made otherwise.
//
// Example: version 12, proved as of 1000, sends a request at 2900 to desk; version 13 is put in force at 3000 and sends the path
// to clock: Outdated has the request with a proof age of 1900.

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

const (
	// maxDecisions bounds the decisions that are kept: those of more than a second at the rate of a busy node.
	maxDecisions = 512
	// maxOutdated bounds the decisions that are reported of one change.
	maxOutdated = 10
)

// Basis is the configuration on which a decision rests.
type Basis struct {
	Version identifier.Version
	// ProofAge is how long ago the version was last known to be the newest, -1 if never.
	ProofAge clock.Duration
	// VersionFrom and ProofFrom are the nodes that relayed the configuration and the proof, empty for the store.
	VersionFrom, ProofFrom identifier.Node
}

// OutdatedDecision is a decision that a newer configuration would have made otherwise.
type OutdatedDecision struct {
	Request identifier.Request
	Path    string
	// Status is the status with which the request was refused, 0 if it was accepted on the route.
	Status int
	Route  string
	// Age is how long before the newer configuration was put in force the request arrived.
	Age   clock.Duration
	Basis Basis
}

// decision is how a request was treated; at is a boot time.
type decision struct {
	request         identifier.Request
	host, path, key string
	at              clock.Time
	status          int
	route           *matcher.Route
	basis           Basis
}

// decisions holds the last decisions; the oldest is overwritten when it is full.
type decisions struct {
	all  []decision
	next int
}

func (d *decisions) add(one decision) {
	if len(d.all) < maxDecisions {
		d.all = append(d.all, one)
		return
	}
	d.all[d.next] = one
	d.next = (d.next + 1) % maxDecisions
}

func (d *decisions) clear() {
	clear(d.all)
	d.all, d.next = d.all[:0], 0
}

func (c *Conductor) basis(boot clock.Time) Basis {
	b := Basis{Version: c.Version(), ProofAge: -1, VersionFrom: c.configurationFrom, ProofFrom: c.provedBy}
	if c.proved {
		b.ProofAge = boot.Sub(c.provedAt)
	}
	return b
}

// recordDecision keeps how a request was treated; status is 0 if it was accepted on the route.
func (c *Conductor) recordDecision(e RequestArrived, route *matcher.Route, status int) {
	c.decisions.add(decision{
		request: e.Request, host: e.Host, path: e.Path, key: e.Key, at: e.Boot, status: status, route: route, basis: c.basis(e.Boot),
	})
}

// refuseByConfiguration refuses a request for what the configuration in force holds, or for the age of its proof.
func (c *Conductor) refuseByConfiguration(e RequestArrived, status int, reason Reason, after clock.Duration) {
	c.recordDecision(e, nil, status)
	basis := c.basis(e.Boot)
	c.emit(Refuse{ID: e.ID, Status: status, Reason: reason, RetryAfter: after, Basis: &basis})
}

// reportInForce reports a configuration that replaces the one in force, and the decisions that it would have made otherwise.
func (c *Conductor) reportInForce(e ConfigurationRead) {
	in := ConfigurationInForce{Version: e.Matcher.Version(), Previous: c.Version(), From: e.From, Within: -1}
	if c.proved {
		in.Within = e.At.Sub(c.provedAt)
	}
	for _, d := range c.decisions.all {
		if !c.proved || d.at < c.provedAt || !d.differsUnder(e.Matcher) {
			continue
		}
		in.OutdatedCount++
		in.Outdated = append(in.Outdated, OutdatedDecision{
			Request: d.request, Path: d.path, Status: d.status, Route: d.routeName(), Age: e.At.Sub(d.at), Basis: d.basis,
		})
	}
	// The latest decisions are the ones most likely to have been made after the change was acknowledged.
	slices.SortFunc(in.Outdated, func(a, b OutdatedDecision) int { return int(a.Age - b.Age) })
	in.Outdated = in.Outdated[:min(len(in.Outdated), maxOutdated)]
	c.decisions.clear()
	c.emit(in)
}

func (d decision) routeName() string {
	if d.route == nil {
		return ""
	}
	return d.route.Name
}

// differsUnder returns whether a configuration treats the request otherwise: it has or lacks its route or key, or sends it to
// other services or for another time.
func (d decision) differsUnder(m *matcher.Matcher) bool {
	route, found := m.Match(d.host, d.path)
	_, holds := m.TeamOf(d.key)
	accepted := found && (route.Public || !m.HasTeams() || holds)
	switch {
	case accepted != (d.status == 0):
		return true
	case !accepted:
		return false
	default:
		return route.Timeout != d.route.Timeout || !slices.Equal(route.Parts, d.route.Parts)
	}
}
