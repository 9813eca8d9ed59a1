package gossiper_test

import (
	"flag"
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
