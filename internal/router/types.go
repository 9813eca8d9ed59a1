// The router learns about a backend server from its announcement (slots, connections, state) and from answers
// (headroom, latency, failures). Measurements take precedence over what was announced.
//
// Example: an endpoint announced Ready with 100 slots whose answers carry headroom 0 gets calls only when no other
// endpoint has headroom.

package router

import (
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// State is the announced or suspected state of an endpoint.
type State uint8

// The states of an endpoint.
const (
	// Cold has just started and is ramped up.
	Cold State = iota
	// Ready takes calls.
	Ready
	// Leaving takes no new calls.
	Leaving
	// Suspect may be dead; it is picked only if no endpoint in any other state that takes calls is left.
	Suspect
	// Limited is cold and can run only a few calls a second; it is picked if no warm endpoint is left.
	Limited
	// Evacuated is in a failure domain that gets no calls.
	Evacuated
	// Stopping is about to close for a while; it is picked if no healthy endpoint is left, and before ejected and
	// suspect ones.
	Stopping
)

// Endpoint is one announced backend server.
type Endpoint struct {
	ID              identifier.Endpoint
	Node            identifier.Node
	Service         identifier.Service
	Domain          identifier.FailureDomain
	Slots           int
	ConnectionLimit int
	State           State
	// RateLimit is how many calls a second the endpoint takes from all nodes together; 0 is no limit.
	RateLimit float64
	// HeadroomAge is how long a measured headroom of the endpoint is used; 0 is the router's default.
	HeadroomAge clock.Duration
}

// RunTimes are the mean run times of calls at an endpoint; 0 if it ran none.
type RunTimes struct {
	// Root is the mean of root requests, Nested that of nested calls.
	Root, Nested clock.Duration
}

// forKind returns the run time of one kind of call, or that of the other kind if there was none of this kind.
func (p RunTimes) forKind(nested bool) clock.Duration {
	if nested && p.Nested > 0 || p.Root == 0 {
		return p.Nested
	}
	return p.Root
}

// Need is what a call requires of its endpoint.
type Need struct {
	// Within is the time in which the answer is due; 0 if it has no due time.
	Within clock.Duration
	// Nested is true for a backend server's call and false for a root request.
	Nested bool
	// Domains are the failure domains in which the call's own nested calls find endpoints, if the local failure domain is
	// not one of them; empty for no preference.
	Domains []identifier.FailureDomain
	// Allowed are the failure domains whose endpoints may run the call; nil allows all.
	Allowed map[identifier.FailureDomain]bool
}

// allows returns whether an endpoint may run the call.
func (n Need) allows(e Endpoint) bool {
	return n.Allowed == nil || n.Allowed[e.Domain]
}

// Crossing is the reason why a call leaves the local failure domain; Inside if it does not.
type Crossing string

// The reasons to leave the local failure domain.
const (
	Inside Crossing = ""
	// NoneNear means that the local failure domain has no usable endpoint.
	NoneNear Crossing = "noneNear"
	// NearFull means that the endpoints in the local failure domain have no headroom, NearSlow that their answers would
	// be late.
	NearFull Crossing = "nearFull"
	NearSlow Crossing = "nearSlow"
	// ForItsCalls means that the call's several nested calls would otherwise have to cross failure domains instead of
	// the call.
	ForItsCalls Crossing = "forItsCalls"
	// Probing means that the call probes an ejected endpoint.
	Probing Crossing = "probing"
	// NoneSound means that only limited, stopping, ejected or suspect endpoints are left.
	NoneSound Crossing = "noneSound"
)

// Choice is a picked endpoint, with the reason if it is in another failure domain.
type Choice struct {
	Endpoint
	Crossing Crossing
}

// Outcome is how a call to an endpoint ended, as the caller's node sees it.
type Outcome uint8

// The outcomes of a call.
const (
	// Succeeded is an answer of the backend server.
	Succeeded Outcome = iota
	// Refused is a refusal by the node beside the endpoint, which shows that this node works.
	Refused
	// Failed is an error, a broken stream or no answer in time.
	Failed
	// Cancelled carries no information about the endpoint.
	Cancelled
)

// Result is what Done reports of a call.
type Result struct {
	Outcome  Outcome
	Latency  clock.Duration
	Headroom uint8
	// Wait is how long a call would have been queued at the endpoint when it answered.
	Wait clock.Duration
}

// Options configure a router; zero fields take the defaults.
type Options struct {
	// Domain is this node's own failure domain.
	Domain identifier.FailureDomain
	// Rand is the seeded random source for choices; required.
	Rand *rand.Rand
	// FailuresToEject is the number of consecutive failures that ejects an endpoint; default 5.
	FailuresToEject int
	// EjectTime is the duration of the first ejection; it doubles up to EjectMax. Defaults 1 s and 30 s.
	EjectTime, EjectMax clock.Duration
	// ColdStart is how long a cold endpoint is ramped up; default 10 s.
	ColdStart clock.Duration
	// HeadroomAge is how long a measured headroom is used; default 1 s.
	HeadroomAge clock.Duration
}

const (
	defaultFailures    = 5
	defaultEjectTime   = clock.Second
	defaultEjectMax    = 30 * clock.Second
	defaultColdStart   = 10 * clock.Second
	defaultHeadroomAge = clock.Second
)

func (o Options) withDefaults() Options {
	if o.FailuresToEject <= 0 {
		o.FailuresToEject = defaultFailures
	}
	if o.EjectTime <= 0 {
		o.EjectTime = defaultEjectTime
	}
	if o.EjectMax <= 0 {
		o.EjectMax = defaultEjectMax
	}
	if o.ColdStart <= 0 {
		o.ColdStart = defaultColdStart
	}
	if o.HeadroomAge <= 0 {
		o.HeadroomAge = defaultHeadroomAge
	}
	return o
}
