// Within a domain, changes ride on pings and short gossips; between domains, relays compare hashes of whole
// member tables and exchange only what differs. None of the messages is needed: each loss is made good by a
// later comparison.
//
// Example: Ping{Hash: 7} meets a table of hash 9: Digest (16 bucket hashes) goes back, then Summary of the
// buckets that differ, then Members with the newer records and the names of those wanted in return.

package gossiper

import "github.com/jackdawtide/jackdawtide/internal/identifier"

// Ping asks a member of the own domain whether it lives.
type Ping struct {
	Sequence uint32
	Status   Status
	Hash     uint64
	Updates  []Member
}

// Ack answers a Ping.
type Ack struct {
	Sequence uint32
	Status   Status
	Updates  []Member
}

// PingRequest asks another member to ping the target.
type PingRequest struct {
	Sequence uint32
	Target   identifier.Node
}

// IndirectAck tells that the target of a PingRequest has answered.
type IndirectAck struct {
	Sequence uint32
	Target   identifier.Node
}

// Gossip carries changes alone.
type Gossip struct {
	Updates []Member
}

// Digest gives the bucket hashes of a domain's table, so that the receiver can tell where they differ.
type Digest struct {
	Domain  identifier.FailureDomain
	Buckets []uint64
}

// Entry is the version of one member's record.
type Entry struct {
	Node        identifier.Node
	Incarnation Incarnation
	State       MemberState
}

// Summary gives the versions of all records in the buckets of Mask.
type Summary struct {
	Domain  identifier.FailureDomain
	Mask    uint32
	Entries []Entry
}

// Members gives whole records and asks for those in Wanted.
type Members struct {
	Domain  identifier.FailureDomain
	Members []Member
	Wanted  []identifier.Node
}

// Probe is sent between relays: it compares the table of one domain and tells who the sender's relays are.
type Probe struct {
	// Domain is the one whose table is compared.
	Domain identifier.FailureDomain
	Hash   uint64
	Relays []Contact
}

// ProbeAnswer answers a Probe whose hash was the same.
type ProbeAnswer struct {
	Domain identifier.FailureDomain
	Relays []Contact
}

// Join announces the sender to a node that may not know it.
type Join struct {
	Self Member
	// Hash is of the sender's member table, 0 where it knows nobody else.
	Hash uint64
}

// JoinAnswer gives the members of the answering node's domain to one of its own, and contacts elsewhere.
type JoinAnswer struct {
	Members  []Member
	Contacts []Contact
}

// Subscribe asks a relay of the own domain for the endpoints of services in other domains, for a term.
type Subscribe struct {
	Services []identifier.Service
	// Hash is of what the sender holds already.
	Hash uint64
}

// Subscription answers Subscribe, or pushes changes unasked.
type Subscription struct {
	IsAnswer bool
	// Unchanged tells that the subscriber holds all members and contacts, so that neither is repeated.
	Unchanged bool
	Members   []Member
	Contacts  []Contact
	// SilentDomains lists the domains that the relay hasn't heard for a while, Heard those that it has. A new relay
	// lists a domain in neither until it knows.
	SilentDomains    []identifier.FailureDomain
	ReachableDomains []identifier.FailureDomain
}

// Joined is the log's record of a node that has started.
type Joined struct {
	Contact Contact
}

// Departed is the log's record of a node that has left.
type Departed struct {
	Node   identifier.Node
	Domain identifier.FailureDomain
}
