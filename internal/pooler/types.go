package pooler

// Dividing a rate into a share for each node fails if a share is about one request: each bucket holds one token, and
// random arrivals bring two requests to one node and none to the next. Such teams have one bucket for the fleet at one
// node, which the others ask for each token.
//
// Example: 13 requests a second over 88 nodes: a share would be one request in 7 s, so all 88 nodes ask one.

import (
	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// maxPooledRatePerNode is the rate, a second and node, up to which a team's rate is pooled. With 3 a second and
	// node, divided buckets refuse a twentieth of the requests of a team that sends exactly its rate. With 4 and more,
	// a divided bucket holds enough for random variation, and one node would have to answer hundreds of token requests
	// a second for one team.
	maxPooledRatePerNode = 4
	// bucketToleranceFraction is the fraction of the tolerated excess by which a bucket is larger than the burst, for
	// requests that arrive together by chance. The rest covers what nodes admit that cannot reach the bucket.
	bucketToleranceFraction = 0.3
	// idleAfter is how long a bucket may go without a request before it counts as newly taken over: the time after
	// which nodes turn from a silent node to another one. A bucket that kept the tokens saved meanwhile would grant the
	// burst again.
	idleAfter = 2500 * clock.Millisecond
	// maxEmptyWait bounds how long a node refuses requests after an answer that the bucket is empty, without asking
	// again: the time for four tokens of the smallest known team, 13 requests a second.
	maxEmptyWait = 300 * clock.Millisecond
	// avoidDuration is how long a node that did not answer is not asked: half of the time after which its silence is
	// detected.
	avoidDuration = clock.Second
	// fallbackDelay is how long a node that cannot reach the bucket waits before it admits its own share. Until then
	// the node with the bucket may not have detected the silence, and grants that share itself (see apportioner).
	fallbackDelay = 1500 * clock.Millisecond
	// fallbackRetention is how long after the last failure a node still counts as unable to reach the bucket.
	fallbackRetention = 3 * clock.Second
	// overRateAfterEmpty is how long a team counts as over its rate after its bucket was empty: one window of the rate's
	// tolerance.
	overRateAfterEmpty = 5 * clock.Second
)

// Grant is the answer of a bucket.
type Grant struct {
	Allowed bool
	// Wait is the time until there is a token again.
	Wait clock.Duration
}

// Pooler holds the buckets of one node; it is not safe for concurrent use.
type Pooler struct {
	tolerance apportioner.Tolerance
	started   clock.Time
	teams     map[identifier.Team]*pool
	// failed is when each node last did not answer.
	failed map[identifier.Node]clock.Time
}

type pool struct {
	rate, burst float64
	// tokens are those of the bucket for all nodes; lastTake is when one was last requested.
	tokens   float64
	filled   clock.Time
	lastTake clock.Time
	// takenBefore is true once a token of the bucket has been requested.
	takenBefore bool
	// fallback is what this node may admit while it cannot reach the bucket.
	fallback fallback
	// emptyUntil is until when the bucket at another node is known to be empty.
	emptyUntil clock.Time
	// unused is the number of tokens to return.
	unused int
}

type fallback struct {
	tokens float64
	// filled is until when tokens have been added, failed when the bucket last could not be reached.
	filled clock.Time
	failed clock.Time
	active bool
}
