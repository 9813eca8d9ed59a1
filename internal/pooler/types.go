package pooler

// A rate that is cut into a part for each node stops working where a part is about one request: a bucket holds one token,
// and chance brings two requests to one node and none to the next. Such teams share one bucket at one node, which the
// otherDemand ask for each token.
//
// Example: 13 requests a second over 88 nodes: a part would be one request in 7 s, so all 88 nodes ask one.

import (
	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// maxPooledRatePerNode is the rate a second and node up to which a team's rate is pooled. With 3 a second and node, parts refuse
	// a twentieth of a team that sends just its rate (in apportioner's test); with 4 and more, a bucket in parts holds enough
	// for chance, and one node would have to answer hundreds of questions a second for one team.
	maxPooledRatePerNode = 4
	// bucketToleranceFraction is the part of the tolerated excess by which a bucket is larger than the burst, for requests that
	// chance brings together. The rest covers what nodes let through that can't reach the bucket.
	bucketToleranceFraction = 0.3
	// idleAfter is how long a bucket may go unasked before it counts as taken over anew: the time in which silence makes
	// nodes turn to another one. A bucket that kept what it saved meanwhile would grant the burst again.
	idleAfter = 2500 * clock.Millisecond
	// maxEmptyWait bounds for how long a node refuses on the word of an empty bucket without asking again: four tokens of
	// the smallest team seen, 13 requests a second.
	maxEmptyWait = 300 * clock.Millisecond
	// avoidDuration is how long a node that gave no answer is not asked: half of the time in which its silence shows.
	avoidDuration = clock.Second
	// fallbackDelay is how long a node that can't reach the bucket waits before it gives out its own part: until then the
	// node with the bucket may not have noticed the silence, and counts that part among its own (see apportioner).
	fallbackDelay = 1500 * clock.Millisecond
	// fallbackRetention is how long after the last failure a node still counts as cut off from the bucket.
	fallbackRetention = 3 * clock.Second
	// calmAfterEmpty is how long after an empty bucket a team does not count as calm: a window in which rates are judged.
	calmAfterEmpty = 5 * clock.Second
)

// Grant is a bucket's answer.
type Grant struct {
	Allowed bool
	// Wait is how long it takes until there is a token again.
	Wait clock.Duration
}

// Pooler keeps the buckets of one node; it is not safe for concurrent use.
type Pooler struct {
	tolerance apportioner.Tolerance
	started   clock.Time
	teams     map[identifier.Team]*pool
	// failed is when a node last gave no answer.
	failed map[identifier.Node]clock.Time
}

type pool struct {
	rate, burst float64
	// tokens are those of the bucket for all nodes; asked is when it was last asked for one.
	tokens   float64
	filled   clock.Time
	lastTake clock.Time
	// takenBefore tells that the bucket was asked at all.
	takenBefore bool
	// fallback is what this node may let through while it can't reach the bucket.
	fallback fallback
	// emptyUntil is until when the bucket elsewhere is known to be empty.
	emptyUntil clock.Time
	// unused are tokens to be given back.
	unused int
}

type fallback struct {
	tokens float64
	// filledAt is until when the tokens have been reckoned, failed when the bucket last could not be reached.
	filled clock.Time
	failed clock.Time
	active bool
}
