// Wire types of the membership protocol. Pings consist mostly of member records, so these are kept short: about 90 bytes
// with one endpoint. Records of dead members and of members that have left carry no endpoints.
//
// Example: Encode(gossiper.Ping{…}) without updates gives about 40 bytes.

package encoder

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	kindPing Kind = 500 + iota
	kindAck
	kindPingRequest
	kindIndirectAck
	kindGossip
	kindDigest
	kindSummary
	kindMembers
	kindProbe
	kindProbeAnswer
	kindJoin
	kindJoinAnswer
	kindSubscribe
	kindSubscription
	kindJoined
	kindDeparted
)

type endpointWire struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Service         string
	Slots           int
	ConnectionLimit int
	State           uint8
}

type memberWire struct {
	_            struct{} `cbor:",toarray"`
	Node         string
	Domain       string
	Address      string
	AdminAddress string
	Incarnation  uint32
	State        uint8
	Endpoints    []endpointWire
}

type statusWire struct {
	_       struct{} `cbor:",toarray"`
	Offset  int64
	Version int64
	InForce string
	Contact logContactWire
}

type contactWire struct {
	_       struct{} `cbor:",toarray"`
	Node    string
	Domain  string
	Address string
}

type pingWire struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32
	Status   statusWire
	Hash     uint64
	Updates  []memberWire
}

type ackWire struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32
	Status   statusWire
	Updates  []memberWire
}

type sequenceTargetWire struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32
	Target   string
}

type gossipWire struct {
	_       struct{} `cbor:",toarray"`
	Updates []memberWire
}

type digestWire struct {
	_       struct{} `cbor:",toarray"`
	Domain  string
	Buckets []uint64
}

type entryWire struct {
	_           struct{} `cbor:",toarray"`
	Node        string
	Incarnation uint32
	State       uint8
}

type summaryWire struct {
	_       struct{} `cbor:",toarray"`
	Domain  string
	Mask    uint32
	Entries []entryWire
}

type membersWire struct {
	_       struct{} `cbor:",toarray"`
	Domain  string
	Members []memberWire
	Wanted  []string
}

type probeWire struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Hash   uint64
	Relays []contactWire
}

type probeAnswerWire struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Relays []contactWire
}

type joinWire struct {
	_    struct{} `cbor:",toarray"`
	Self memberWire
	Hash uint64
}

type joinAnswerWire struct {
	_        struct{} `cbor:",toarray"`
	Members  []memberWire
	Contacts []contactWire
}

type subscribeWire struct {
	_        struct{} `cbor:",toarray"`
	Services []string
	Hash     uint64
}

type subscriptionWire struct {
	_                struct{} `cbor:",toarray"`
	IsAnswer         bool
	Unchanged        bool
	Members          []memberWire
	Contacts         []contactWire
	SilentDomains    []string
	ReachableDomains []string
}

type joinedWire struct {
	_       struct{} `cbor:",toarray"`
	Contact contactWire
}

type departedWire struct {
	_      struct{} `cbor:",toarray"`
	Node   string
	Domain string
}

func init() {
	register(kindPing, pingToWire, pingFromWire)
	register(kindAck, ackToWire, ackFromWire)
	register(kindPingRequest, pingRequestToWire, pingRequestFromWire)
	register(kindIndirectAck, indirectAckToWire, indirectAckFromWire)
	register(kindGossip, gossipToWire, gossipFromWire)
	register(kindDigest, digestToWire, digestFromWire)
	register(kindSummary, summaryToWire, summaryFromWire)
	register(kindMembers, membersToWire, membersFromWire)
	register(kindProbe, probeToWire, probeFromWire)
	register(kindProbeAnswer, probeAnswerToWire, probeAnswerFromWire)
	register(kindJoin, joinToWire, joinFromWire)
	register(kindJoinAnswer, joinAnswerToWire, joinAnswerFromWire)
	register(kindSubscribe, subscribeToWire, subscribeFromWire)
	register(kindSubscription, subscriptionToWire, subscriptionFromWire)
	register(kindJoined, joinedToWire, joinedFromWire)
	register(kindDeparted, departedToWire, departedFromWire)
}

// toText and fromText convert a name to a string and back; mapSlice applies them to lists of names.
func toText[S ~string](s S) string   { return string(s) }
func fromText[S ~string](s string) S { return S(s) }

func memberToWire(m gossiper.Member) memberWire {
	return memberWire{
		Node:         string(m.Node),
		Domain:       string(m.Domain),
		Address:      m.Address,
		AdminAddress: m.AdminAddress,
		Incarnation:  uint32(m.Incarnation),
		State:        uint8(m.State),
		Endpoints: mapSlice(m.Endpoints, func(e gossiper.Endpoint) endpointWire {
			return endpointWire{
				ID:              string(e.ID),
				Service:         string(e.Service),
				Slots:           e.Slots,
				ConnectionLimit: e.ConnectionLimit,
				State:           uint8(e.State),
			}
		}),
	}
}

func memberFromWire(w memberWire) gossiper.Member {
	return gossiper.Member{
		Node:         identifier.Node(w.Node),
		Domain:       identifier.FailureDomain(w.Domain),
		Address:      w.Address,
		AdminAddress: w.AdminAddress,
		Incarnation:  gossiper.Incarnation(w.Incarnation),
		State:        gossiper.MemberState(w.State),
		Endpoints: mapSlice(w.Endpoints, func(e endpointWire) gossiper.Endpoint {
			return gossiper.Endpoint{
				ID:              identifier.Endpoint(e.ID),
				Service:         identifier.Service(e.Service),
				Slots:           e.Slots,
				ConnectionLimit: e.ConnectionLimit,
				State:           gossiper.EndpointState(e.State),
			}
		}),
	}
}

func statusToWire(s gossiper.Status) statusWire {
	return statusWire{
		Offset:  int64(s.Offset),
		Version: int64(s.Version),
		InForce: string(s.InForce),
		Contact: logContactWire{Reader: string(s.Reader), Stamp: int64(s.Stamp), Age: int64(s.Age)},
	}
}

func statusFromWire(w statusWire) gossiper.Status {
	return gossiper.Status{
		Offset:  identifier.Offset(w.Offset),
		Version: identifier.Version(w.Version),
		InForce: identifier.Preset(w.InForce),
		Reader:  identifier.Node(w.Contact.Reader),
		Stamp:   clock.Time(w.Contact.Stamp),
		Age:     clock.Duration(w.Contact.Age),
	}
}

func contactToWire(c gossiper.Contact) contactWire {
	return contactWire{Node: string(c.Node), Domain: string(c.Domain), Address: c.Address}
}

func contactFromWire(w contactWire) gossiper.Contact {
	return gossiper.Contact{
		Node:    identifier.Node(w.Node),
		Domain:  identifier.FailureDomain(w.Domain),
		Address: w.Address,
	}
}

func pingToWire(p gossiper.Ping) pingWire {
	return pingWire{
		Sequence: p.Sequence,
		Status:   statusToWire(p.Status),
		Hash:     p.Hash,
		Updates:  mapSlice(p.Updates, memberToWire),
	}
}

func pingFromWire(w pingWire) gossiper.Ping {
	return gossiper.Ping{
		Sequence: w.Sequence,
		Status:   statusFromWire(w.Status),
		Hash:     w.Hash,
		Updates:  mapSlice(w.Updates, memberFromWire),
	}
}

func ackToWire(a gossiper.Ack) ackWire {
	return ackWire{Sequence: a.Sequence, Status: statusToWire(a.Status), Updates: mapSlice(a.Updates, memberToWire)}
}

func ackFromWire(w ackWire) gossiper.Ack {
	return gossiper.Ack{
		Sequence: w.Sequence,
		Status:   statusFromWire(w.Status),
		Updates:  mapSlice(w.Updates, memberFromWire),
	}
}

func pingRequestToWire(r gossiper.PingRequest) sequenceTargetWire {
	return sequenceTargetWire{Sequence: r.Sequence, Target: string(r.Target)}
}

func pingRequestFromWire(w sequenceTargetWire) gossiper.PingRequest {
	return gossiper.PingRequest{Sequence: w.Sequence, Target: identifier.Node(w.Target)}
}

func indirectAckToWire(a gossiper.IndirectAck) sequenceTargetWire {
	return sequenceTargetWire{Sequence: a.Sequence, Target: string(a.Target)}
}

func indirectAckFromWire(w sequenceTargetWire) gossiper.IndirectAck {
	return gossiper.IndirectAck{Sequence: w.Sequence, Target: identifier.Node(w.Target)}
}

func gossipToWire(g gossiper.Gossip) gossipWire {
	return gossipWire{Updates: mapSlice(g.Updates, memberToWire)}
}

func gossipFromWire(w gossipWire) gossiper.Gossip {
	return gossiper.Gossip{Updates: mapSlice(w.Updates, memberFromWire)}
}

func digestToWire(d gossiper.Digest) digestWire {
	return digestWire{Domain: string(d.Domain), Buckets: d.Buckets}
}

func digestFromWire(w digestWire) gossiper.Digest {
	return gossiper.Digest{Domain: identifier.FailureDomain(w.Domain), Buckets: w.Buckets}
}

func summaryToWire(s gossiper.Summary) summaryWire {
	return summaryWire{
		Domain: string(s.Domain),
		Mask:   s.Mask,
		Entries: mapSlice(s.Entries, func(e gossiper.Entry) entryWire {
			return entryWire{Node: string(e.Node), Incarnation: uint32(e.Incarnation), State: uint8(e.State)}
		}),
	}
}

func summaryFromWire(w summaryWire) gossiper.Summary {
	return gossiper.Summary{
		Domain: identifier.FailureDomain(w.Domain),
		Mask:   w.Mask,
		Entries: mapSlice(w.Entries, func(e entryWire) gossiper.Entry {
			return gossiper.Entry{
				Node:        identifier.Node(e.Node),
				Incarnation: gossiper.Incarnation(e.Incarnation),
				State:       gossiper.MemberState(e.State),
			}
		}),
	}
}

func membersToWire(m gossiper.Members) membersWire {
	return membersWire{
		Domain:  string(m.Domain),
		Members: mapSlice(m.Members, memberToWire),
		Wanted:  mapSlice(m.Wanted, toText[identifier.Node]),
	}
}

func membersFromWire(w membersWire) gossiper.Members {
	return gossiper.Members{
		Domain:  identifier.FailureDomain(w.Domain),
		Members: mapSlice(w.Members, memberFromWire),
		Wanted:  mapSlice(w.Wanted, fromText[identifier.Node]),
	}
}

func probeToWire(p gossiper.Probe) probeWire {
	return probeWire{Domain: string(p.Domain), Hash: p.Hash, Relays: mapSlice(p.Relays, contactToWire)}
}

func probeFromWire(w probeWire) gossiper.Probe {
	return gossiper.Probe{
		Domain: identifier.FailureDomain(w.Domain),
		Hash:   w.Hash,
		Relays: mapSlice(w.Relays, contactFromWire),
	}
}

func probeAnswerToWire(p gossiper.ProbeAnswer) probeAnswerWire {
	return probeAnswerWire{Domain: string(p.Domain), Relays: mapSlice(p.Relays, contactToWire)}
}

func probeAnswerFromWire(w probeAnswerWire) gossiper.ProbeAnswer {
	return gossiper.ProbeAnswer{
		Domain: identifier.FailureDomain(w.Domain),
		Relays: mapSlice(w.Relays, contactFromWire),
	}
}

func joinToWire(j gossiper.Join) joinWire {
	return joinWire{Self: memberToWire(j.Self), Hash: j.Hash}
}

func joinFromWire(w joinWire) gossiper.Join {
	return gossiper.Join{Self: memberFromWire(w.Self), Hash: w.Hash}
}

func joinAnswerToWire(a gossiper.JoinAnswer) joinAnswerWire {
	return joinAnswerWire{Members: mapSlice(a.Members, memberToWire), Contacts: mapSlice(a.Contacts, contactToWire)}
}

func joinAnswerFromWire(w joinAnswerWire) gossiper.JoinAnswer {
	return gossiper.JoinAnswer{
		Members:  mapSlice(w.Members, memberFromWire),
		Contacts: mapSlice(w.Contacts, contactFromWire),
	}
}

func subscribeToWire(s gossiper.Subscribe) subscribeWire {
	return subscribeWire{Services: mapSlice(s.Services, toText[identifier.Service]), Hash: s.Hash}
}

func subscribeFromWire(w subscribeWire) gossiper.Subscribe {
	return gossiper.Subscribe{Services: mapSlice(w.Services, fromText[identifier.Service]), Hash: w.Hash}
}

func subscriptionToWire(s gossiper.Subscription) subscriptionWire {
	return subscriptionWire{
		IsAnswer:         s.IsAnswer,
		Unchanged:        s.Unchanged,
		Members:          mapSlice(s.Members, memberToWire),
		Contacts:         mapSlice(s.Contacts, contactToWire),
		SilentDomains:    mapSlice(s.SilentDomains, toText[identifier.FailureDomain]),
		ReachableDomains: mapSlice(s.ReachableDomains, toText[identifier.FailureDomain]),
	}
}

func subscriptionFromWire(w subscriptionWire) gossiper.Subscription {
	return gossiper.Subscription{
		IsAnswer:         w.IsAnswer,
		Unchanged:        w.Unchanged,
		Members:          mapSlice(w.Members, memberFromWire),
		Contacts:         mapSlice(w.Contacts, contactFromWire),
		SilentDomains:    mapSlice(w.SilentDomains, fromText[identifier.FailureDomain]),
		ReachableDomains: mapSlice(w.ReachableDomains, fromText[identifier.FailureDomain]),
	}
}

func joinedToWire(r gossiper.Joined) joinedWire {
	return joinedWire{Contact: contactToWire(r.Contact)}
}

func joinedFromWire(w joinedWire) gossiper.Joined {
	return gossiper.Joined{Contact: contactFromWire(w.Contact)}
}

func departedToWire(r gossiper.Departed) departedWire {
	return departedWire{Node: string(r.Node), Domain: string(r.Domain)}
}

func departedFromWire(w departedWire) gossiper.Departed {
	return gossiper.Departed{Node: identifier.Node(w.Node), Domain: identifier.FailureDomain(w.Domain)}
}
