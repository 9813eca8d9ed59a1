package conductor

// What a conductor wants done is data, so a test compares it and a node performs it.
//
// Example: Refuse{ID: 1, Status: 503, Reason: "pressure", RetryAfter: 400}

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/pooler"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// Effect is something to be done.
type Effect interface{ effect() }

// Refuse ends a request with an answer of this node's own.
type Refuse struct {
	ID     CallID
	Status int
	Reason Reason
	// RetryAfter is when the caller should come back; 0 says nothing of it.
	RetryAfter clock.Duration
}

// Draw asks another node for a token of a team; TokenDrawn follows.
type Draw struct {
	ID      CallID
	Node    identifier.Node
	Address string
	Team    identifier.Team
	// Back are tokens to be given back with the question.
	Back int
	// Crosses tells that the node is in another failure domain.
	Crosses bool
}

// Give answers another node's question for a token.
type Give struct {
	ID CallID
	// Known tells that the team has a bucket here.
	Known bool
	Grant pooler.Grant
}

// Probe opens a connection to another node, to see whether it can be reached; Probed follows.
type Probe struct {
	Node    identifier.Node
	Address string
}

// Abort ends an attempt at a node that can't be reached; AttemptEnded with Broken follows.
type Abort struct {
	ID CallID
}

// Send makes one attempt.
type Send struct {
	ID CallID
	// Local tells that the endpoint is beside this node; else Address is its node's.
	Local    bool
	Address  string
	Node     identifier.Node
	Endpoint identifier.Endpoint
	Service  identifier.Service
	Team     identifier.Team
	Rank     identifier.Rank
	Nested   bool
	// Retry tells that the request may have reached an endpoint before.
	Retry bool
	// ArrivalCounted tells that another node was asked before and counted the request among its endpoint's arrivals.
	ArrivalCounted bool
	// RateUnchecked tells that the team's rate has yet to be taken from, at the node that gets the request.
	RateUnchecked bool
	// Idempotent tells that the request may run again.
	Idempotent   bool
	Deadline     clock.Time
	QueueTimeout clock.Duration
	Due          clock.Time
	Route        string
	Version      identifier.Version
	// Crossing is why the request leaves this node's failure domain.
	Crossing router.Crossing
}

// Reply passes the endpoint's answer on.
type Reply struct {
	ID CallID
}

// Run lets a delivery through to the endpoint.
type Run struct {
	ID CallID
}

// Hold queues a delivery; Run or TurnAway follows.
type Hold struct {
	ID CallID
}

// TurnAway ends a delivery that has not reached the endpoint.
type TurnAway struct {
	ID      CallID
	Outcome Outcome
	Reason  Reason
}

// CheckEndpoint asks the local endpoint which one it is and whether it is cold; EndpointChecked follows.
type CheckEndpoint struct {
	// Path is where the endpoint's health is asked for.
	Path string
}

// Publish writes this node's record, to the store and to its peers.
type Publish struct {
	Member exchanger.Member
}

func (Refuse) effect()        {}
func (Draw) effect()          {}
func (Give) effect()          {}
func (Probe) effect()         {}
func (Abort) effect()         {}
func (Send) effect()          {}
func (Reply) effect()         {}
func (Run) effect()           {}
func (Hold) effect()          {}
func (TurnAway) effect()      {}
func (CheckEndpoint) effect() {}
func (Publish) effect()       {}

// Reason says in a log line and a metric why a request was refused.
type Reason string

// The reasons.
const (
	NoConfiguration Reason = "noConfiguration"
	NoRoute         Reason = "noRoute"
	UnknownKey      Reason = "unknownKey"
	StaleKeys       Reason = "staleKeys"
	OverRate        Reason = "overRate"
	Pressure        Reason = "pressure"
	NoEndpoint      Reason = "noEndpoint"
	Evacuated       Reason = "evacuated"
	EndpointCold    Reason = "endpointCold"
	NoRoom          Reason = "noRoom"
	Expired         Reason = "expired"
	EndpointGone    Reason = "endpointGone"
	EndpointDown    Reason = "endpointDown"
	EndpointRefused Reason = "endpointRefused"
	InDoubt         Reason = "inDoubt"
	Deadline        Reason = "deadline"
)
