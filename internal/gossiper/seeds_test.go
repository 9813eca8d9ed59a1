package gossiper_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The first node of a failure domain that died whole must not use endpoints of the dead because another domain remembers them.
func TestSeed17267NewcomerToDeadDomain(t *testing.T) { replay(t, "17267") }

// A node whose seeds are all dead must find the fleet by the log, or its endpoint stays unknown elsewhere.
func TestSeed29941ServerUnknownElsewhere(t *testing.T) { replay(t, "29941") }

// A node that stood still must not stretch the time after which a member that it suspects counts as dead.
func TestSeed771301UsesADeadServer(t *testing.T) { replayWithin(t, "771301", "2000") }

// The same in a failure domain whose only living node stood still while the others came and went.
func TestSeed101DomainKeptByAPausedNode(t *testing.T) { replayWithin(t, "101", "1000") }

// A node that has just become a relay must not lack servers of other domains while it fills its tables, and one that stood
// still must not go on using a server that left meanwhile.
func TestSeed62NewRelayAndPausedFollower(t *testing.T) { replayWithin(t, "62", "1000") }

// A node that becomes a relay must not use a failure domain again that is silent.
func TestSeed103NewRelayUsesASilentDomain(t *testing.T) { replayWithin(t, "103", "1000") }

func replay(t *testing.T, seed string) {
	setFlag(t, "rapid.seed", seed)
	rapid.Check(t, membershipHolds)
}

func replayWithin(t *testing.T, seed, checks string) {
	setFlag(t, "rapid.checks", checks)
	replay(t, seed)
}

func setFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	before := f.Value.String()
	assert.NilError(t, f.Value.Set(value))
	t.Cleanup(func() { assert.NilError(t, f.Value.Set(before)) })
}

// knownRed names the variable that lets the tests listed in KNOWN-RED.txt run; without it they are passed over.
const knownRed = "JACKDAWTIDE_KNOWN_RED"

// A server that left must not be used for longer than two seconds. It shows within 1,500 checks from this seed.
func TestSeed29941LeavingServerUsed(t *testing.T) {
	if os.Getenv(knownRed) == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
	replayWithin(t, "29941", "1500")
}
