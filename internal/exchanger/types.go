package exchanger

// What a node tells all others, in two parts: who it is, which also stands in the platform's store, and how it fares.
//
// Example: Member{Node: "a", Endpoint: "i-7", State: Ready}, Report{Excess: 0.4}

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// State is what a node says of its endpoint.
type State uint8

// The states of a member.
const (
	// Absent has no endpoint that may be used.
	Absent State = iota
	// Ready has an endpoint that takes requests.
	Ready
	// Leaving finishes what it has.
	Leaving
	// Stopping has an endpoint that stays, while the node itself stops: it takes what has nowhere else to go.
	Stopping
)

// Member is a node and the endpoint beside it.
type Member struct {
	Node identifier.Node
	// DeliveryAddress is the address for requests to the endpoint, Peer the one for reports.
	DeliveryAddress string
	PeerAddress     string
	Domain          identifier.FailureDomain
	Service         identifier.Service

	Endpoint identifier.Endpoint
	Slots    int
	State    State
	ColdLeft clock.Duration

	// Incarnation is the wall time of the node's start, Sequence counts its changes since.
	Incarnation int64
	Sequence    int64
}

// Newer tells whether m is a later word of the node than o.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Sequence > o.Sequence
}

// Cursor is up to where a node has heard what another node's table holds.
type Cursor struct {
	// Table is the other node's table, which is made anew at each start; Change counts the changes in it.
	Table  uint64
	Change uint64
}

// Question is a node's own report, those that it passes on, and what it has heard so far from the node that it asks.
type Question struct {
	Report    Report
	Forwarded []Report
	Since     Cursor
}

// Answer is what the asking node has not heard yet.
type Answer struct {
	Cursor  Cursor
	Reports []Report
}

// Report is what a node tells about half a second.
type Report struct {
	Member Member
	// Compact tells that only the node's name is given of the member, whose record has not changed.
	Compact bool
	// Age is how old the report is at the moment of sending.
	Age clock.Duration
	// Number grows with each report of one incarnation.
	Number int64
	// Demand is the requests a second of each team that arrive at the node.
	Demand map[identifier.Team]float64
	// Excess is the part of the load on the endpoint beside the node that is too much (see throttler).
	Excess float64
	// RootTime and NestedTime are the mean times of a run at the endpoint beside the node, of root requests and of nested
	// calls, 0 before there was one.
	RootTime, NestedTime clock.Duration
	// ColdLeft is how much longer the endpoint beside the node is cold.
	ColdLeft clock.Duration
	// Load is the calls a second that would arrive at the endpoint if nothing were refused.
	Load float64
	// Calls is how many nested calls one run at the endpoint makes, by the route of the run and that of the call. Calls of
	// which nobody can say whose they are stand under the empty route, by all runs.
	Calls map[identifier.Route]map[identifier.Route]float64
}

// Newer tells whether r is a later word of the node than o.
func (r Report) Newer(o Report) bool {
	if r.Member.Incarnation != o.Member.Incarnation {
		return r.Member.Incarnation > o.Member.Incarnation
	}
	return r.Number > o.Number
}
