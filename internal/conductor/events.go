package conductor

// Everything that happens to a node is one of these events. The code that performs the effects calls Apply with the
// next event and the time; nothing else changes a conductor, so a test can replay an outage as a list of events.
//
// Example: Apply(RequestArrived{ID: 1, Host: "a.example", Path: "/obs/1"}, now) gives Send{ID: 1, ...}.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/pooler"
	"github.com/jackdawtide/jackdawtide/internal/quarantiner"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// CallID identifies one request at one node; it is unique among the node's open requests.
type CallID uint64

// Event is something that happened to the node.
type Event interface{ event() }

// RequestArrived is a request from a caller or from the local endpoint.
type RequestArrived struct {
	ID CallID
	// Request is the id that the caller gave the request.
	Request identifier.Request
	Host    string
	Path    string
	// Key is the caller's key, empty if the request has none.
	Key string
	// Parent is the request whose run at the local endpoint makes this nested call, empty if unknown.
	Parent identifier.Request
	// Left is how long the caller will wait; 0 if not given.
	Left clock.Duration
	// Boot is the time by the boot clock, which is used to check that proofs are recent.
	Boot clock.Time
}

// AttemptEnded is the end of an attempt started by a Send.
type AttemptEnded struct {
	ID      CallID
	Outcome Outcome
	// Status is the endpoint's status code if it answered.
	Status int
	// Headroom is the free part of the endpoint's capacity as its node reported it; 255 is all free.
	Headroom uint8
	// Wait is how long a request would have been queued at that node.
	Wait clock.Duration
	// Notice is what the endpoint's answer says about the endpoint.
	Notice Notice
	// Fingerprints are those of the request.
	Fingerprints []identifier.Fingerprint
	// Replayable is set when the request's body can be sent again from its start.
	Replayable bool
	// Member is the other node's record if it answered that the endpoint is no longer there; nil otherwise.
	Member *exchanger.Member
}

// RequestRecognized gives the fingerprints of a request that a Send wants to be sent and that is quarantined; Refuse follows.
type RequestRecognized struct {
	ID           CallID
	Fingerprints []identifier.Fingerprint
}

// TokenDrawn is the result of a Draw.
type TokenDrawn struct {
	ID   CallID
	Node identifier.Node
	// Answered is set when the other node answered; Grant is its answer.
	Answered bool
	Grant    pooler.Grant
}

// TokenRequested is another node's request for a token of a team whose bucket it expects here.
type TokenRequested struct {
	ID   CallID
	Team identifier.Team
	// Back is the number of tokens that the other node was granted and did not use.
	Back int
}

// Probed is the result of a Probe.
type Probed struct {
	Node    identifier.Node
	Reached bool
}

// RequestClosed ends a request: its answer was sent, or the caller disconnected.
type RequestClosed struct {
	ID CallID
}

// DeliveryArrived is a request for the local endpoint, from this node or another one.
type DeliveryArrived struct {
	ID CallID
	// Request, Host and Path are as sent by the caller.
	Request  identifier.Request
	Host     string
	Path     string
	Endpoint identifier.Endpoint
	Rank     identifier.Rank
	// Deadline is when the caller stops waiting, QueueTimeout how long the request may be queued.
	Deadline     clock.Time
	QueueTimeout clock.Duration
	// Due is when the answer is expected.
	Due    clock.Time
	Nested bool
	// ArrivalCounted is set when another node has already counted the arrival.
	ArrivalCounted bool
	// RateUnchecked is the team from which a token still has to be taken, empty for none.
	RateUnchecked identifier.Team
	// Limit is what the sending node knows of the endpoint's rate limit.
	Limit Notice
	// Fingerprints identify the request whatever its id, a nested call also together with the root request.
	Fingerprints []identifier.Fingerprint
}

// NoticeReceived is what the local endpoint's answer to a delivery says about the endpoint.
type NoticeReceived struct {
	ID     CallID
	Notice Notice
}

// DeliveryEnded is the end of a delivery that a Run forwarded to the local endpoint.
type DeliveryEnded struct {
	ID      CallID
	Outcome Outcome
	// Status is the endpoint's status code if it answered, 0 if that is not known.
	Status int
}

// DeliveryCancelled ends a delivery that was not sent, since its caller disconnected while it was queued. It may have been
// dispatched in the meantime.
type DeliveryCancelled struct {
	ID CallID
}

// EndpointAnnounced is a heartbeat of the local endpoint.
type EndpointAnnounced struct {
	Announcement registrar.Announcement
}

// EndpointRemoved is the local endpoint's notification that it is gone.
type EndpointRemoved struct {
	Endpoint identifier.Endpoint
}

// EndpointUnreachable means that the local endpoint accepted no connection.
type EndpointUnreachable struct {
	Endpoint identifier.Endpoint
}

// EndpointAlive means that the local endpoint accepted a connection that was opened to check it.
type EndpointAlive struct{}

// EndpointEnded means that the local endpoint broke off the requests that it ran and then refused a connection, or that it gives no
// answers and accepts no connection.
type EndpointEnded struct {
	ID       CallID
	Endpoint identifier.Endpoint
}

// EndReceived is the end of an endpoint beside another node.
type EndReceived struct {
	End quarantiner.End
}

// EndpointChecked is the result of a CheckEndpoint.
type EndpointChecked struct {
	// Endpoint is the id of the endpoint that answered, empty if none did.
	Endpoint identifier.Endpoint
	// ColdLeft is how much longer the endpoint is cold; Known is set if it said so.
	ColdLeft clock.Duration
	Known    bool
	// Notice is what the answer says otherwise.
	Notice Notice
}

// ConfigurationRead is a configuration that was read in full and validated.
type ConfigurationRead struct {
	Matcher *matcher.Matcher
	// At is the boot time at which it was received.
	At clock.Time
	// From is the node that relayed it, empty for the store.
	From identifier.Node
}

// ConfigurationProved means that the store held no configuration newer than Version at AsOf, by the boot clock.
type ConfigurationProved struct {
	Version identifier.Version
	AsOf    clock.Time
	// From is the node that passed the proof on, empty for the store.
	From identifier.Node
}

// ProofReceived means that another node knew of no configuration newer than Version at AsOf, by the local boot clock.
type ProofReceived struct {
	From    identifier.Node
	Version identifier.Version
	AsOf    clock.Time
	// Next is the offset up to which that node knows the operators' orders, 0 if not given.
	Next identifier.Offset
}

// OrdersRead gives the offset up to which the operators' orders are known.
type OrdersRead struct {
	Next identifier.Offset
	// Restarted is set if the topic was created again, so that earlier offsets mean nothing any more.
	Restarted bool
}

// DomainsEvacuated lists the evacuated failure domains; all others are not evacuated.
type DomainsEvacuated struct {
	Domains []identifier.FailureDomain
}

// MembersSought means that the node knows no other node yet, and does not know whether there are any. Until MembersRead, or until
// another node reports, it can't tell which part of a team's rate is its own.
type MembersSought struct{}

// MembersRead means that the records of all members have been read.
type MembersRead struct{}

// MemberLearned is a node's record; Dropped is set when the node withdrew it.
type MemberLearned struct {
	Member  exchanger.Member
	Dropped bool
}

// ReportsReceived are reports of other nodes.
type ReportsReceived struct {
	Reports []exchanger.Report
}

// PeerAnswered is another node's answer in an exchange of reports.
type PeerAnswered struct {
	Node   identifier.Node
	Answer exchanger.Answer
}

// PeerFailed means that another node did not answer an exchange of reports.
type PeerFailed struct {
	Node identifier.Node
	// Sought is set when the exchange searched for a missing node (see ReportExchange.Seeks). If such failures counted,
	// a node that is reachable from another part of the fleet would be avoided for up to half a minute after a
	// partition ends.
	Sought bool
}

// Ticked advances the time; it must be applied every TickPeriod.
type Ticked struct{}

// TickPeriod is the interval of Ticked: a queued request is found to have expired at most this late.
const TickPeriod = 25 * clock.Millisecond

// VMResumed means that the VM was suspended for a time that the node's clock did not count.
type VMResumed struct {
	// After is how long the VM was suspended.
	After clock.Duration
}

// BoundsChanged replaces the bounds.
type BoundsChanged struct {
	Bounds Bounds
}

// StopRequested begins a planned stop.
type StopRequested struct {
	// End is when all requests must have been answered; 0 means that this is not bounded.
	End clock.Time
}

func (RequestArrived) event()      {}
func (AttemptEnded) event()        {}
func (RequestRecognized) event()   {}
func (TokenDrawn) event()          {}
func (TokenRequested) event()      {}
func (Probed) event()              {}
func (RequestClosed) event()       {}
func (DeliveryArrived) event()     {}
func (NoticeReceived) event()      {}
func (DeliveryEnded) event()       {}
func (DeliveryCancelled) event()   {}
func (EndpointAnnounced) event()   {}
func (EndpointRemoved) event()     {}
func (EndpointUnreachable) event() {}
func (EndpointAlive) event()       {}
func (EndpointEnded) event()       {}
func (EndReceived) event()         {}
func (EndpointChecked) event()     {}
func (ConfigurationRead) event()   {}
func (ConfigurationProved) event() {}
func (ProofReceived) event()       {}
func (OrdersRead) event()          {}
func (DomainsEvacuated) event()    {}
func (MembersSought) event()       {}
func (MembersRead) event()         {}
func (MemberLearned) event()       {}
func (ReportsReceived) event()     {}
func (PeerFailed) event()          {}
func (PeerAnswered) event()        {}
func (Ticked) event()              {}
func (StopRequested) event()       {}
func (VMResumed) event()           {}
func (BoundsChanged) event()       {}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that the endpoint sent a complete response head.
	Answered Outcome = iota
	// Moved means that the endpoint is no longer there or gets no more requests; the request has not run.
	Moved
	// Full means that the node beside the endpoint had no capacity; the request has not reached the endpoint.
	Full
	// Unreached means that no connection was established; the request has not been sent.
	Unreached
	// Declined means that the endpoint answered that it did not run the request.
	Declined
	// Over means that the other node had no token left for the team; the request has not reached the endpoint.
	Over
	// Broken means that the request was sent and no answer arrived; it may have run.
	Broken
	// Late means that the deadline passed; the request may have run.
	Late
	// Abandoned means that the caller disconnected.
	Abandoned
)

var outcomeNames = [...]string{"answered", "moved", "full", "unreached", "declined", "over", "broken", "late", "abandoned"}

// String returns the outcome's name, as used in logs and in answers between nodes.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// ParseOutcome returns the outcome with the given name; for an unknown name it returns Broken, since the request may
// have run.
func ParseOutcome(name string) Outcome {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i)
		}
	}
	return Broken
}

// NotRun reports whether the request has certainly not run.
func (o Outcome) NotRun() bool {
	return o == Moved || o == Full || o == Unreached || o == Declined || o == Over
}
