// A member's record is written by the member alone and numbered by its incarnation; others may only add the
// opinion that it is suspect, dead or gone. So of two records of one member the newer one is always known.
//
// Example: {n1, incarnation 4, Suspect} beats {n1, 4, Alive}; n1 answers with {n1, 5, Alive}, which beats both.

package gossiper

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Incarnation numbers the records that one member has written about itself.
type Incarnation uint32

// MemberState is the liveness of a member; of two records with the same incarnation the higher state counts.
type MemberState uint8

// The states of a member.
const (
	Alive MemberState = iota + 1
	Suspect
	Dead
	Left
)

var memberStateNames = [...]string{Alive: "alive", Suspect: "suspect", Dead: "dead", Left: "left"}

// String names the state for the dump.
func (s MemberState) String() string {
	if s > 0 && int(s) < len(memberStateNames) {
		return memberStateNames[s]
	}
	return "unknown"
}

// EndpointState is what a backend server has announced about itself.
type EndpointState uint8

// The states of an endpoint.
const (
	Cold EndpointState = iota + 1
	Ready
	Leaving
)

var endpointStateNames = [...]string{Cold: "cold", Ready: "ready", Leaving: "leaving"}

// String names the state for the dump.
func (s EndpointState) String() string {
	if s > 0 && int(s) < len(endpointStateNames) {
		return endpointStateNames[s]
	}
	return "unknown"
}

// Endpoint is one backend server as it was announced to its node.
type Endpoint struct {
	ID              identifier.Endpoint
	Service         identifier.Service
	Slots           int
	ConnectionLimit int
	State           EndpointState
}

// Member is one node with the endpoints behind it.
type Member struct {
	Node         identifier.Node
	Domain       identifier.FailureDomain
	Address      string
	AdminAddress string
	Incarnation  Incarnation
	State        MemberState
	Endpoints    []Endpoint
}

func (m Member) up() bool {
	return m.State == Alive || m.State == Suspect
}

// supersedes tells whether record a of a member takes the place of record b.
func supersedes(a, b Member) bool {
	if b.State == Left {
		return false
	}
	if a.State == Left || a.Incarnation != b.Incarnation {
		return a.State == Left || a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// PlacedEndpoint is an endpoint together with where it is.
type PlacedEndpoint struct {
	Endpoint
	Node   identifier.Node
	Domain identifier.FailureDomain
}

// Contact is how to reach a node.
type Contact struct {
	Node    identifier.Node
	Domain  identifier.FailureDomain
	Address string
}

// Status is what pings tell about the sender's configuration.
type Status struct {
	Offset  identifier.Offset
	Version identifier.Version
	InForce identifier.Preset
	// Reader, Stamp and Age are the newest contact with the log that the sender knows of.
	Reader identifier.Node
	Stamp  clock.Time
	Age    clock.Duration
}

// ReceivedStatus is the last news from one node.
type ReceivedStatus struct {
	Status
	At clock.Time
}

// Effect is something that the caller has to do.
type Effect interface{ effect() }

// Send passes a message to a node at an address; it may get lost. Node is empty where only the address is known.
type Send struct {
	To      identifier.Node
	Address string
	Message any
}

// Append puts a record on the log; the caller repeats it until it is there.
type Append struct {
	Record any
}

// EndpointChanged tells of a new or changed endpoint.
type EndpointChanged struct {
	Endpoint PlacedEndpoint
}

// EndpointGone tells that an endpoint must get no new work.
type EndpointGone struct {
	ID   identifier.Endpoint
	Node identifier.Node
}

// MembersChanged tells that Members, or Contacts, of a domain gives a new answer.
type MembersChanged struct {
	Domain identifier.FailureDomain
}

// StatusReceived passes on what a ping told.
type StatusReceived struct {
	Node   identifier.Node
	Status Status
}

func (Send) effect()            {}
func (Append) effect()          {}
func (EndpointChanged) effect() {}
func (EndpointGone) effect()    {}
func (MembersChanged) effect()  {}
func (StatusReceived) effect()  {}
