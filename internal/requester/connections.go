package requester

// A VM allows a process some thousands of file descriptors. Callers whose requests are refused retry on new connections
// and keep the old ones open: with an idle time of half a minute, an overload with retries uses up all 3,900 descriptors
// of a node within ten seconds. Accept then fails and is retried up to a second later, new connections stay unread
// meanwhile, and requests are read seconds after their callers have left. Therefore all parts of a node share one count
// of open connections, and above a fraction of the limit each answer closes its connection.
//
// Example: NewConnections(3900) is crowded above 1,950 open connections.

import "sync/atomic"

// crowdedFraction is the fraction of the descriptors above which answers close their connections. The rest is needed for
// requests in flight: each takes up to two more descriptors, and the endpoint's nested calls as many again.
const crowdedFraction = 0.5

// Connections counts a process's open connections; it is safe for concurrent use.
type Connections struct {
	open atomic.Int64
	// crowded, scarce and full are the numbers of connections above which they are.
	crowded, scarce, full int64
}

// scarceFraction and fullFraction are the fractions of the descriptors above which room for connections is scarce, and above which
// there is none. The rest is left for connections to endpoints, to other nodes and to the store.
const (
	scarceFraction = 0.75
	fullFraction   = 0.85
)

// NewConnections returns a count for a process with the given limit of file descriptors.
func NewConnections(descriptors int) *Connections {
	part := func(fraction float64) int64 { return int64(fraction * float64(descriptors)) }
	return &Connections{crowded: part(crowdedFraction), scarce: part(scarceFraction), full: part(fullFraction)}
}

// Add adds n opened connections; a negative n counts closed ones.
func (c *Connections) Add(n int64) {
	c.open.Add(n)
}

// Open returns how many connections are open.
func (c *Connections) Open() int64 {
	return c.open.Load()
}

// Crowded returns whether connections should be closed instead of kept idle.
func (c *Connections) Crowded() bool {
	return c.open.Load() > c.crowded
}

// Scarce returns whether a further connection should take the place of one that is not used.
func (c *Connections) Scarce() bool {
	return c.open.Load() > c.scarce
}

// Full returns whether there are as many connections as there may be.
func (c *Connections) Full() bool {
	return c.open.Load() > c.full
}
