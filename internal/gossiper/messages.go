// Within a domain, changes are carried by pings and gossip messages; between domains, relays compare hashes of whole
// member tables and exchange only the records that differ. No message has to arrive: a later comparison makes up for
// each loss.
//
// Example: Ping{Hash: 7} reaches a node whose table has hash 9: it replies with Digest (16 bucket hashes), gets a
// Summary of the buckets that differ, and sends Members with its newer records and the names of the records that it
// wants.

package gossiper

import "github.com/jackdawtide/jackdawtide/internal/identifier"

// Ping checks whether a member of the local failure domain is alive.
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

// IndirectAck reports to the sender of a PingRequest that the target has answered.
type IndirectAck struct {
	Sequence uint32
	Target   identifier.Node
}

// Gossip carries changed records only.
type Gossip struct {
	Updates []Member
}

// Digest holds the bucket hashes of a domain's table, so that the receiver can find the buckets that differ.
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

// Summary holds the versions of all records in the buckets that are set in Mask.
type Summary struct {
	Domain  identifier.FailureDomain
	Mask    uint32
	Entries []Entry
}

// Members holds full records and requests those named in Wanted.
type Members struct {
	Domain  identifier.FailureDomain
	Members []Member
	Wanted  []identifier.Node
}

// Probe is sent by relays to compare the table of one domain; it also names the relays of the sender's domain.
type Probe struct {
	// Domain is the one whose table is compared.
	Domain identifier.FailureDomain
	Hash   uint64
	Relays []Contact
}

// ProbeAnswer answers a Probe with the relays of the sender's domain; if the hashes differ, a Digest follows.
type ProbeAnswer struct {
	Domain identifier.FailureDomain
	Relays []Contact
}

// Join announces the sender to a node that may not know it.
type Join struct {
	Self Member
	// Hash is the hash of the sender's member table, 0 if the sender knows no other member.
	Hash uint64
}

// JoinAnswer sends a node of the same domain the members and the contacts in other domains, and a node of another
// domain only contacts, among them the relays of the sender's domain.
type JoinAnswer struct {
	Members  []Member
	Contacts []Contact
}

// Subscribe subscribes at a relay of the local failure domain to the endpoints of services in other domains, for
// subscriptionTerm.
type Subscribe struct {
	Services []identifier.Service
	// Hash covers the records and contacts that the sender already holds.
	Hash uint64
}

// Subscription answers Subscribe, or pushes changes.
type Subscription struct {
	IsAnswer bool
	// Unchanged means that the subscriber already holds all members and contacts, so that both lists are empty.
	Unchanged bool
	Members   []Member
	Contacts  []Contact
	// SilentDomains lists the domains that the relay considers silent, ReachableDomains those that it is in contact
	// with. A new relay lists a domain in neither until it knows.
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
