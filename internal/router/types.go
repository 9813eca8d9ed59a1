// What the router knows of a backend server comes from its announcement (slots, connections, state) and from
// answers (headroom, latency, failures). What was measured counts before what was announced.
//
// Example: an endpoint announced Ready with 100 slots whose answers carry headroom 0 gets calls only when no
// otherUsable has room.

package router

import (
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// State is what is announced or suspected of an endpoint.
type State uint8

// The states of an endpoint.
const (
	// Cold has just started and is ramped up.
	Cold State = iota
	// Ready takes calls.
	Ready
	// Leaving takes no new call.
	Leaving
	// Suspect may be dead; it is picked only when there is nothing else.
	Suspect
	// Limited is cold and bears only a few calls a second; it is picked when no warm one is left.
	Limited
	// Evacuated is in a failure domain that gets nothing.
	Evacuated
	// Stopping is about to close for a while; it is picked when no sound one is left, and before those in doubt.
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
}

// RunTimes are the mean times of an endpoint's runs; 0 where there was none.
type RunTimes struct {
	// Root is that of root requests, Nested that of nested calls.
	Root, Nested clock.Duration
}

// forKind returns the run time of one kind of call, that of the other kind where there was none.
func (p RunTimes) forKind(nested bool) clock.Duration {
	if nested && p.Nested > 0 || p.Root == 0 {
		return p.Nested
	}
	return p.Root
}

// Need is what a call asks of its endpoint.
type Need struct {
	// Within is the time in which the answer is due; 0 is no such time.
	Within clock.Duration
	// Nested tells a backend server's call from a root request.
	Nested bool
	// Domains are the failure domains in which the call's own nested calls find endpoints, where the own domain is none of
	// them; empty for no preference.
	Domains []identifier.FailureDomain
	// Allowed are the failure domains whose endpoints may run the call; nil allows all.
	Allowed map[identifier.FailureDomain]bool
}

// checkPick tells whether an endpoint may run the call.
func (n Need) allows(e Endpoint) bool {
	return n.Allowed == nil || n.Allowed[e.Domain]
}

// Crossing is why a call leaves the own failure domain; Inside where it does not.
type Crossing string

// The reasons to leave the own failure domain.
const (
	Inside Crossing = ""
	// NoneNear tells that no usable endpoint is in the own failure domain.
	NoneNear Crossing = "noneNear"
	// NearFull tells that the endpoints there have no headroom, NearSlow that their slow runs would be late.
	NearFull Crossing = "nearFull"
	NearSlow Crossing = "nearSlow"
	// ForItsCalls tells that the call's own nested calls would have to leave, several for one.
	ForItsCalls Crossing = "forItsCalls"
	// Probing tells that an ejected endpoint is tried again.
	Probing Crossing = "probing"
	// NoneSound tells that only endpoints in doubt are left.
	NoneSound Crossing = "noneSound"
)

// Choice is a picked endpoint, and why it is elsewhere if it is.
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
	// Refused is a refusal by the delivery node, which itself is well.
	Refused
	// Failed is an error, a broken stream or no answer in time.
	Failed
	// Cancelled says nothing about the endpoint.
	Cancelled
)

// Result is what Done reports of a call.
type Result struct {
	Outcome  Outcome
	Latency  clock.Duration
	Headroom uint8
	// Wait is how long a call would have been queued there when it answered.
	Wait clock.Duration
}

// Options set a router up; zero fields take the defaults.
type Options struct {
	// Domain is this node's own failure domain.
	Domain identifier.FailureDomain
	// Rand is the seeded source of choices; required.
	Rand *rand.Rand
	// FailuresToEject is how many failures in a row eject an endpoint; default 5.
	FailuresToEject int
	// EjectTime is the first ejection's length; it doubles up to EjectMax. Defaults 1 s and 30 s.
	EjectTime, EjectMax clock.Duration
	// ColdStart is how long a cold endpoint gets a growing part of the calls; default 10 s.
	ColdStart clock.Duration
	// HeadroomAge is how long a measured headroom counts; default 1 s.
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
