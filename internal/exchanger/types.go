package exchanger

// What a node sends to all others has two parts: its member record, which is also kept in the platform's store, and its
// load report.
//
// Example: Member{Node: "a", Endpoint: "i-7", State: Ready}, Report{Excess: 0.4}

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// State is the state that a node reports for its endpoint.
type State uint8

// The states of a node's endpoint.
const (
	// Absent means that the node has no usable endpoint.
	Absent State = iota
	// Ready means that the endpoint accepts requests.
	Ready
	// Leaving means that the endpoint finishes its requests in flight and gets no new ones.
	Leaving
	// Stopping means that the node shuts down while its endpoint stays up: it only gets requests that no other endpoint can
	// take.
	Stopping
)

// Member is a node and the endpoint beside it.
type Member struct {
	Node identifier.Node
	// DeliveryAddress is where requests for the endpoint are sent, PeerAddress where nodes exchange reports.
	DeliveryAddress string
	PeerAddress     string
	Domain          identifier.FailureDomain
	Service         identifier.Service

	Endpoint identifier.Endpoint
	Slots    int
	State    State
	ColdLeft clock.Duration
	// Started is when the endpoint started, in Unix milliseconds as it announced it; 0 is unknown.
	Started int64
	// Stopping is set if the node shuts down, whatever the state of its endpoint.
	Stopping bool
	// Left is set if the endpoint of that start has announced that it is leaving, or was removed.
	Left bool

	// Incarnation is the wall time of the node's start, Sequence counts the changes of its record since then.
	Incarnation int64
	Sequence    int64
}

// Newer reports whether m is a later record of the node than o.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Sequence > o.Sequence
}

// Cursor marks the change of another node's table up to which a node has received its reports.
type Cursor struct {
	// Table identifies the other node's table, which is created at each start; Change counts the changes in it.
	Table  uint64
	Change uint64
}

// Question holds a node's own report, the reports that it forwards, and its cursor in the table of the node that it asks.
type Question struct {
	Report    Report
	Forwarded []Report
	Since     Cursor
	// Refused are the errors of the forwarded reports that were received and could not be decoded.
	Refused []error
}

// Answer holds the reports that the asking node has not received yet, and its new cursor.
type Answer struct {
	Cursor  Cursor
	Reports []Report
	// Refused are the errors of the reports that were received and could not be decoded.
	Refused []error
}

// Report holds what a node measured over half a second.
type Report struct {
	Member Member
	// Compact means that Member holds only the node's name, because the record has not changed.
	Compact bool
	// Age is the report's age when it is sent.
	Age clock.Duration
	// Number grows with each report of one incarnation.
	Number int64
	// Demand is the rate of requests that arrive at the node, per second and team.
	Demand map[identifier.Team]float64
	// Excess is the fraction of the load on the node's endpoint that exceeds its capacity (see throttler).
	Excess float64
	// RootTime and NestedTime are the mean times of a run at the node's endpoint, of root requests and of nested calls, 0
	// before the first one.
	RootTime, NestedTime clock.Duration
	// ColdLeft is how much longer the node's endpoint is cold: after a start it can take only a few requests a second.
	ColdLeft clock.Duration
	// Limit is what the node knows of its endpoint's rate limit, which is RateLimit requests a second if it is Limited.
	Limit     LimitState
	RateLimit float64
	// Load is the rate of calls per second that would arrive at the endpoint if nothing were refused.
	Load float64
	// Calls is how many nested calls one run at the endpoint makes, by the route of the run and that of the call. Calls
	// that can't be attributed to a run count under the empty route, averaged over all runs.
	Calls map[identifier.Route]map[identifier.Route]float64
	// Arrivals is the rate of root requests that arrive at the node, per second, by route and class, refused ones
	// included. It is sent only while some service is or was just overloaded, or declines calls.
	Arrivals map[identifier.Route]map[identifier.Class]float64
	// TeamArrivals is the rate of root requests that arrive at the node, per second, by team and route, refused ones
	// included. It is sent when Arrivals is, and has nothing for requests without a team.
	TeamArrivals map[identifier.Team]map[identifier.Route]float64
	// Offered is the rate of calls per second that the node passed to its endpoint, and Declined the rate of those that
	// the endpoint answered as not run. They are sent only while the endpoint declines calls.
	Offered, Declined float64
	// Queue is the number of calls that stand in the queue for the endpoint. It is sent only while some service is or was just
	// overloaded.
	Queue float64
	// Capacity is the rate of calls per second that the endpoint answers with all its slots in use, 0 if it has not been
	// measured. It is sent only while some service is or was just overloaded.
	Capacity float64
}

// LimitState is what a node knows of its endpoint's rate limit.
type LimitState uint8

// The states of a rate limit.
const (
	// UnknownLimit means that no answer of the endpoint has arrived since the node or the endpoint started.
	UnknownLimit LimitState = iota
	// Unlimited means that the endpoint names no limit.
	Unlimited
	// Limited means that the endpoint names a limit.
	Limited
)

// Newer reports whether r is a later report of the node than o.
func (r Report) Newer(o Report) bool {
	if r.Member.Incarnation != o.Member.Incarnation {
		return r.Member.Incarnation > o.Member.Incarnation
	}
	return r.Number > o.Number
}
