package requester

// A VM allows a process some thousands of descriptors. Callers whose requests are refused come back on new connections
// and keep the old ones; with each kept for half a minute, a surge with retries used up all 3,900 of a node within ten
// seconds. Accepting then fails and is tried again up to a second later, connections wait for that unread, and requests
// are read seconds after their callers have left. So all parts of a node count their connections together, and from a
// part of the limit on, answers end their connections.
//
// Example: NewConnections(3900) is crowded from 1,950 open connections on.

import "sync/atomic"

// crowdedFraction of the descriptors may be connections before answers end them. Each request under way needs up to two
// more, and the endpoint's nested calls as many again.
const crowdedFraction = 0.5

// Connections counts a process's open connections; it is safe for concurrent use.
type Connections struct {
	open  atomic.Int64
	limit int64
}

// NewConnections returns a count for a process that may have a number of descriptors.
func NewConnections(descriptors int) *Connections {
	return &Connections{limit: int64(crowdedFraction * float64(descriptors))}
}

// Add counts connections that were opened, or closed where n is negative.
func (c *Connections) Add(n int64) {
	c.open.Add(n)
}

// Open returns how many connections are open.
func (c *Connections) Open() int64 {
	return c.open.Load()
}

// Crowded tells whether unused connections should not be kept.
func (c *Connections) Crowded() bool {
	return c.open.Load() > c.limit
}
