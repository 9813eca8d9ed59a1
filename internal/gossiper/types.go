// Only the member itself writes its record and numbers it with an incarnation; other nodes may only change the state to
// suspect, dead or left. That makes it always decidable which of two records of a member is newer.
//
// Example: {n1, incarnation 4, Suspect} supersedes {n1, 4, Alive}; n1 refutes with {n1, 5, Alive}, which supersedes
// both.

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

// String returns the name that the dump prints.
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

// String returns the name that the dump prints.
func (s EndpointState) String() string {
	if s > 0 && int(s) < len(endpointStateNames) {
		return endpointStateNames[s]
	}
	return "unknown"
}

// Endpoint is one backend server as announced to its node.
type Endpoint struct {
	ID              identifier.Endpoint
	Service         identifier.Service
	Slots           int
	ConnectionLimit int
	State           EndpointState
}

// Member is one node with its endpoints.
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

// supersedes reports whether record a of a member replaces record b.
func supersedes(a, b Member) bool {
	if b.State == Left {
		return false
	}
	if a.State == Left || a.Incarnation != b.Incarnation {
		return a.State == Left || a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// PlacedEndpoint is an endpoint together with its node and failure domain.
type PlacedEndpoint struct {
	Endpoint
	Node   identifier.Node
	Domain identifier.FailureDomain
}

// Contact is a node and the address to reach it at.
type Contact struct {
	Node    identifier.Node
	Domain  identifier.FailureDomain
	Address string
}

// Status is the state of the sender's configuration, carried by pings and their acks.
type Status struct {
	Offset  identifier.Offset
	Version identifier.Version
	InForce identifier.Preset
	// Reader is the node with the most recent contact with the log that the sender knows of, Stamp the time of that
	// contact by the reader's clock, and Age the time since then.
	Reader identifier.Node
	Stamp  clock.Time
	Age    clock.Duration
}

// ReceivedStatus is the last status received from a node, and when.
type ReceivedStatus struct {
	Status
	At clock.Time
}

// Effect is an action that the caller has to perform.
type Effect interface{ effect() }

// Send sends a message to a node at an address, without a delivery guarantee. To is empty when only the address is
// known.
type Send struct {
	To      identifier.Node
	Address string
	Message any
}

// Append appends a record to the platform's log; the caller retries until the log holds it.
type Append struct {
	Record any
}

// EndpointChanged reports a new or changed endpoint.
type EndpointChanged struct {
	Endpoint PlacedEndpoint
}

// EndpointGone reports that an endpoint must get no new requests: it was removed, its node is dead or has left, its
// domain is silent, or no relay confirms it any more. An endpoint that becomes Leaving is reported by EndpointChanged.
type EndpointGone struct {
	ID   identifier.Endpoint
	Node identifier.Node
}

// MembersChanged reports that the result of Members, for the local failure domain, or of Contacts, for another one, has
// changed.
type MembersChanged struct {
	Domain identifier.FailureDomain
}

// StatusReceived passes on a status that a ping or an ack carried.
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
