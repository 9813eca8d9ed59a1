// A rank orders all calls from most to least important. It is set once, at the entry node, and propagated with the
// call and all calls nested in it, so that every hop sheds the same requests and none does work for a request that
// another hop refuses.
//
// Example: MakeRank(Urgent, 0, h) < MakeRank(Normal, 0, h) < MakeRank(Normal, 3, h).

package identifier

// Rank is the position of a call in the order of shedding; the highest ranks are shed first.
type Rank uint16

// Threshold is the highest rank that a service admits.
type Threshold = Rank

// The parts of a rank: 2 bits of priority, 5 bits of the team's overuse, 9 bits of the root request's hash.
const (
	overuseBits = 5
	hashBits    = 9
	// MaxOveruse is the highest overuse level of a team.
	MaxOveruse = 1<<overuseBits - 1
	// MaxRank is the rank shed first; as a threshold it sheds nothing.
	MaxRank Rank = 1<<16 - 1
)

// MakeRank combines the parts of a rank; overuse above MaxOveruse counts as MaxOveruse.
func MakeRank(p Priority, overuse uint8, rootHash uint64) Rank {
	u := Rank(min(overuse, MaxOveruse))
	h := Rank(rootHash & (1<<hashBits - 1))
	return Rank(p)<<(overuseBits+hashBits) | u<<hashBits | h
}

// Priority returns the priority class within the rank.
func (r Rank) Priority() Priority {
	return Priority(r >> (overuseBits + hashBits))
}

// Level is the part of a rank that all requests of a kind share: the priority and the team's overuse.
type Level uint8

// Level returns the rank without the root request's hash.
func (r Rank) Level() Level {
	return Level(r >> hashBits)
}
