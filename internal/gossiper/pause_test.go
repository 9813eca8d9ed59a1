package gossiper

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func newTestGossiper(members ...identifier.Node) *Gossiper {
	g := New(Options{
		Self: Member{Node: "self", Domain: "west", Address: "127.0.0.1:1", Incarnation: 1},
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	g.Tick(100)
	for _, n := range members {
		g.applyUpdates([]Member{testMember(n, Alive)}, 100)
	}
	return g
}

func testMember(n identifier.Node, state MemberState) Member {
	return Member{
		Node: n, Domain: "west", Address: "127.0.0.1:2", Incarnation: 1, State: state,
		Endpoints: []Endpoint{{ID: identifier.Endpoint("i-" + n), Service: "ice", State: Ready}},
	}
}

// A suspicion received right after a pause must not be extended by the length of the pause; a dead endpoint would be
// used for that much longer.
func TestPauseDoesNotProlongNewSuspicion(t *testing.T) {
	const resumed = clock.Time(20_000)
	g := newTestGossiper("other")
	g.Receive("other", Gossip{Updates: []Member{testMember("dead", Suspect)}}, resumed)
	for now := resumed; now <= resumed.Add(DefaultSuspicion); now = now.Add(TickInterval) {
		g.Tick(now)
	}
	m, ok := g.Member("dead")
	assert.Assert(t, ok)
	assert.Equal(t, m.State, Dead)
}

// A message received right after a pause must not move a domain's last contact time into the future; the domain's
// silence would be detected too late.
func TestPauseDoesNotMoveLastContactIntoTheFuture(t *testing.T) {
	const resumed = clock.Time(20_000)
	g := newTestGossiper()
	g.recordContact("east", 50)
	g.recordContact("east", resumed)
	g.Tick(resumed)
	assert.Assert(t, g.relayer.remotes["east"].lastContact <= resumed)
}

// When only another domain reports a member of the local failure domain as alive, its endpoints must stay unused until
// it refutes the suspicion itself: they may be long gone.
func TestMemberReportedByOtherDomainIsUsedOnceItRefutes(t *testing.T) {
	g := newTestGossiper()
	g.Receive("relayOfEast", Members{Domain: "west", Members: []Member{testMember("n", Alive)}}, 200)
	m, ok := g.Member("n")
	assert.Assert(t, ok)
	assert.Equal(t, m.State, Suspect)
	assert.Equal(t, len(g.Endpoints("ice")), 0)
	refuted := testMember("n", Alive)
	refuted.Incarnation = 2
	g.Receive("n", Gossip{Updates: []Member{refuted}}, 300)
	assert.Equal(t, len(g.Endpoints("ice")), 1)
}

// A node that becomes a relay must not drop living members of other domains before its own tables are filled.
func TestNewRelayKeepsSubscribedMembers(t *testing.T) {
	const chosen = clock.Time(20_000)
	g := newTestGossiper()
	g.AddInterest("ice", 100)
	remote := testMember("n", Alive)
	remote.Domain = "east"
	g.applyRemoteRecord(remote, chosen.Add(-relayConfirmTerm))
	g.remoteOf("east", 100)
	g.relayer.tracksSilence = false
	for now := chosen; now < chosen.Add(newRelaySilenceLimit); now = now.Add(TickInterval) {
		g.Tick(now)
	}
	assert.Equal(t, len(g.Endpoints("ice")), 1)
}

// A node that becomes a relay must not use a domain that was already silent before.
func TestNewRelayKeepsASilentDomainHidden(t *testing.T) {
	const chosen = clock.Time(20_000)
	g := newTestGossiper()
	g.AddInterest("ice", 100)
	remote := testMember("n", Alive)
	remote.Domain = "east"
	g.applyRemoteRecord(remote, chosen)
	east := g.remoteOf("east", 100)
	east.silent, east.lastContact = true, 100-clock.Time(2*silenceLimit)
	g.view.setHidden("east", true)
	g.relayer.tracksSilence = false
	for now := chosen; now < chosen.Add(newRelaySilenceLimit); now = now.Add(TickInterval) {
		g.Tick(now)
		assert.Equal(t, len(g.Endpoints("ice")), 0)
	}
}

// A paused node must renew its subscription at once when it resumes; otherwise it uses endpoints that left during the
// pause for some seconds more.
func TestPausedFollowerRenewsAtOnce(t *testing.T) {
	g := newTestGossiper("r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
	assert.Assert(t, !g.relayer.isRelay)
	g.Tick(200)
	g.follower.answered = true
	g.follower.nextRenewal = 30_000
	asked := 0
	for _, e := range g.Tick(20_000) {
		if s, ok := e.(Send); ok {
			if _, subscribes := s.Message.(Subscribe); subscribes {
				asked++
			}
		}
	}
	assert.Equal(t, asked, 2)
}
