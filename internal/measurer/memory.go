// A node's memory is the difference of the live heap before and after its state was filled by ordinary events, so that
// maps, indexes and unused capacity count too. Each fill function varies one variable, for one slope.
//
// Example: fillKeys(4000) returns the state of a reducer that has read 4,000 keys from the log.

package measurer

import (
	"fmt"
	"math/rand/v2"
	"runtime"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// heapUsedBy returns the bytes of live heap that the value returned by fill retains.
func heapUsedBy(fill func() any) float64 {
	before := liveHeap()
	retained := fill()
	after := liveHeap()
	runtime.KeepAlive(retained)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// newRelay returns a fleet of two nodes and the first of them, which is a relay of its domain and reads the log itself.
func newRelay() (*fleet, *member) {
	f := newFleet(1, 2, 1)
	f.run(5 * clock.Second)
	return f, f.members[0]
}

func memberOf(i int, domain identifier.FailureDomain, service identifier.Service) gossiper.Member {
	id := fmt.Sprintf("%s-%08x", domain[len(domain)-2:], i*2654435761+1)
	return gossiper.Member{
		Node: identifier.Node(id), Domain: domain, Address: fmt.Sprintf("10.%d.%d.%d:7400", i>>16&255, i>>8&255, i&255),
		AdminAddress: fmt.Sprintf("10.%d.%d.%d:7401", i>>16&255, i>>8&255, i&255), Incarnation: 2, State: gossiper.Alive,
		Endpoints: []gossiper.Endpoint{{
			ID: identifier.Endpoint("server-" + id), Service: service, Slots: 20, ConnectionLimit: 230, State: gossiper.Ready,
		}},
	}
}

// announceMembers delivers messages to m that announce n members of a domain.
func (f *fleet) announceMembers(m *member, domain identifier.FailureDomain, from, n int) {
	const batch = 64
	var list []gossiper.Member
	for j := from; n > 0; j++ {
		other := memberOf(j, domain, serviceName(j%targetServices))
		if domain == m.domain && precedesAsRelay(other.Node, m.id) {
			continue
		}
		n--
		list = append(list, other)
		if len(list) < batch && n > 0 {
			continue
		}
		message := any(gossiper.Members{Domain: domain, Members: list})
		if domain == m.domain {
			message = gossiper.Gossip{Updates: list}
		}
		f.apply(m, &reducer.MessageReceived{From: list[0].Node, Message: message, Wall: f.wall()})
		list = nil
	}
}

// precedesAsRelay returns whether a is chosen as a relay before b. A node that knows of three members that precede it
// stops being a relay and evicts the members of all other domains, so its memory would be measured without them.
func precedesAsRelay(a, b identifier.Node) bool {
	return xxh3.HashString(string(a)) > xxh3.HashString(string(b))
}

func fillOwnMembers(n int) any {
	f, m := newRelay()
	f.announceMembers(m, m.domain, 0, n)
	return m.state
}

func fillRemoteMembers(n int) any {
	f, m := newRelay()
	const domains = 10
	for d := range domains {
		f.announceMembers(m, domainName(d+1), d*n/domains, n/domains)
	}
	return m.state
}

type endpointState struct {
	gossiper *gossiper.Gossiper
	router   *router.Router
}

// fillEndpointsCalled returns the state for n endpoints in other domains of a service that the node calls.
func fillEndpointsCalled(n int) any {
	self := memberOf(1<<20, domainName(0), serviceName(0))
	k := endpointState{
		gossiper: gossiper.New(gossiper.Options{Self: self, Rand: rand.New(rand.NewPCG(1, 1))}),
		router:   router.New(router.Options{Domain: self.Domain, Rand: rand.New(rand.NewPCG(1, 2))}),
	}
	k.gossiper.AddInterest(serviceName(1), 0)
	for i := range n {
		list := []gossiper.Member{memberOf(i, domainName(1+i%10), serviceName(1))}
		for _, e := range k.gossiper.Receive("relay", gossiper.Subscription{Members: list}, 1) {
			c, ok := e.(gossiper.EndpointChanged)
			if !ok {
				continue
			}
			k.router.Put(router.Endpoint{
				ID: c.Endpoint.ID, Node: c.Endpoint.Node, Service: c.Endpoint.Service, Domain: c.Endpoint.Domain,
				Slots: c.Endpoint.Slots, ConnectionLimit: c.Endpoint.ConnectionLimit, State: router.Ready,
			}, 1)
		}
	}
	return k
}

type teamState struct {
	granter  *granter.Granter
	fairness *admitter.Fairness
}

type noClaims struct{}

// Holds reports that this node holds no claim.
func (noClaims) Holds(claimer.Name, clock.Time) (identifier.Epoch, bool) {
	return 0, false
}

type allClaims struct{}

// Holds reports that this node holds every claim.
func (allClaims) Holds(claimer.Name, clock.Time) (identifier.Epoch, bool) {
	return 1, true
}

// fillPurses returns the state of a node without banks, through which n teams call.
func fillPurses(n int) any {
	k := teamsWith(n, noClaims{})
	for i := range n {
		k.granter.Spend(teamName(i), granter.Call(i), 1)
		k.fairness.CountCall(teamName(i), 1)
	}
	return k
}

// fillBanks returns the state of a node that holds the banks of n teams, of which 20 nodes each request slices.
func fillBanks(n int) any {
	k := teamsWith(n, allClaims{})
	for slot := range reducer.RateSlots {
		k.granter.OpenBank(slot, 1, 1)
	}
	const asking = 20
	for i := range n {
		for j := range asking {
			ask := granter.Ask{
				Team: teamName(i), Domain: domainName(0), Number: 1, Want: identifier.TokensPerCall,
				Demand: 10 * identifier.TokensPerCall,
			}
			k.granter.Receive(identifier.Node(fmt.Sprintf("01-%08x", j)), ask, clock.Time(2*clock.Minute))
		}
	}
	return k
}

func teamsWith(n int, a granter.Authority) teamState {
	domains := []identifier.FailureDomain{domainName(0), domainName(1), domainName(2)}
	p := presetOf(1, n, domains)
	k := teamState{
		granter: granter.New(granter.Options{
			Self: "self", Domain: domains[0], Slots: reducer.RateSlots, Authority: a,
		}),
		fairness: admitter.NewFairness(admitter.FairnessOptions{}),
	}
	k.granter.SetTeams(p.Teams, p.Domains, nil, 1, 1)
	for _, t := range p.Teams {
		k.fairness.SetTeam(t.Name, t.Weight)
	}
	return k
}

func fillKeys(n int) any {
	f, m := newRelay()
	for i := range n {
		f.issueTeamKey(keyOf(i), teamName(i%8))
	}
	f.run(clock.Duration(n/maxRecordsPerRead+5) * clock.Second / 4)
	f.log = nil
	return m.state
}

func fillPreset(services int) any {
	f, m := newRelay()
	f.append(presetRecord(f, services, 8))
	f.append(switchRecord(f))
	f.run(2 * clock.Second)
	f.log = nil
	return m.state
}

func fillPresetTeams(teams int) any {
	f, m := newRelay()
	f.append(presetRecord(f, 10, teams))
	f.append(switchRecord(f))
	f.run(2 * clock.Second)
	f.log = nil
	return m.state
}

type idState struct {
	owner *deduplicator.Owner
}

// fillIDs returns the state of an owner that stores n idempotency ids with their answers.
func fillIDs(n int) any {
	o := deduplicator.NewOwner(deduplicator.OwnerOptions{})
	random := rand.New(rand.NewPCG(1, 3))
	wall := wallStart
	f := &fleet{random: random}
	for i := range n {
		id := f.uuid()
		parsed, err := deduplicator.ParseID(string(id))
		if err != nil {
			panic(err)
		}
		claim := deduplicator.ClaimOf(teamName(0), parsed)
		hold := deduplicator.Hold{Claim: claim, Epoch: 1, Gained: wall - clock.Wall(clock.Hour), FirstHolder: true}
		a := deduplicator.Attempt{Node: identifier.Node(fmt.Sprintf("01-%08x", i%64)), Number: uint64(i)}
		begin := deduplicator.BeginRequest{
			Claim: claim, Team: teamName(0), ID: id, Fingerprint: deduplicator.Fingerprint(i), Attempt: a,
		}
		o.Receive(a.Node, begin, hold, true, 1, wall)
		report := deduplicator.FinishReport{
			Claim: claim, Team: teamName(0), ID: id, Fingerprint: begin.Fingerprint, Attempt: a,
			Outcome: deduplicator.Outcome{
				Status: 201, Headers: []deduplicator.Header{{Name: "Content-Type", Value: "application/json"}},
				Body: make([]byte, answerBodyBytes),
			},
		}
		o.Receive(a.Node, report, hold, true, 2, wall)
	}
	return idState{owner: o}
}

// fillCalls returns the state of a node with n calls in flight that were forwarded and not answered.
func fillCalls(n int) any {
	f, m := readyNode()
	// Slices grow with demand, so the calls must be spread over some time; the bound of 1000 rounds is far above what is
	// needed.
	for round := 0; len(m.pendingAnswers) < n && round < 1000; round++ {
		f.heartbeats()
		for range min(20, n-len(m.pendingAnswers)) {
			f.call(m, 0, 0, false)
		}
		f.run(100 * clock.Millisecond)
	}
	return m.state
}

// readyNode returns a node with a ready local endpoint in a fleet that doesn't deliver answers any more.
func readyNode() (*fleet, *member) {
	f := newFleet(1, 3, 1)
	f.publish(1)
	f.run(warmUpTime)
	m := f.members[0]
	f.apply(m, &reducer.BackendAnnounced{
		Endpoint: endpointID(m), Service: serviceName(0), Slots: 10_000, ConnectionLimit: 10_000,
	})
	f.run(clock.Second)
	f.withholdAnswers = true
	return f, m
}
