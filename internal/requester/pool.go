package requester

// Idle connections are kept for each address. The one used last is taken first, so that the others reach their idle time
// or are closed as more than the recent use.
//
// Example: c := p.take("10.1.0.9:8080", now); after a complete exchange, p.put(c, now), otherwise p.end(c.address, now).

import (
	"slices"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

type pool struct {
	mu        sync.Mutex
	addresses map[string]*addressPool
	maxIdle   int
	// followUse closes idle connections beyond what usage.wanted returns.
	followUse bool
}

// addressPool holds the idle connections to an address, in the order in which they became idle.
type addressPool struct {
	idle  []*conn
	usage usage
}

func newPool(o Options) *pool {
	return &pool{addresses: map[string]*addressPool{}, maxIdle: o.MaxIdle, followUse: o.FollowUse}
}

// take returns the connection that was used last, so that the others reach their idle time and are closed; nil if there is
// none. In both cases a use of the address begins, which end or put must end.
func (p *pool) take(address string, now clock.Time) *conn {
	p.begin(address, now)
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now < c.idleUntil && c.hasNoInput() {
			c.attachBuffers()
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) begin(address string, now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(address).usage.add(1, now)
}

// end ends a use of the address whose connection is not kept.
func (p *pool) end(address string, now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at(address).usage.add(-1, now)
}

// at returns the pool of an address; the caller holds the lock.
func (p *pool) at(address string) *addressPool {
	a, ok := p.addresses[address]
	if !ok {
		a = &addressPool{}
		p.addresses[address] = a
	}
	return a
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.at(address)
	if len(a.idle) == 0 {
		return nil
	}
	last := len(a.idle) - 1
	c := a.idle[last]
	a.idle[last] = nil
	a.idle = a.idle[:last]
	return c
}

// put ends a use and keeps its connection, on which a complete answer was read and nothing is buffered.
func (p *pool) put(c *conn, now clock.Time) {
	c.reused = true
	c.releaseBuffers()
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.at(c.address)
	a.usage.add(-1, now)
	if len(a.idle) >= p.maxIdle {
		_ = c.Close()
		return
	}
	a.idle = append(a.idle, c)
}

// expire closes the connections whose idle time has passed, and those beyond the number to keep.
func (p *pool) expire(now clock.Time) {
	for _, c := range p.removeExpired(now) {
		_ = c.Close()
	}
}

// removeExpired removes the connections to close. They are idle, and nothing takes them any more: no request can be sent
// on one of them while it is closed.
func (p *pool) removeExpired(now clock.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*conn
	for address, a := range p.addresses {
		removed = append(removed, a.removeExpired(now)...)
		if p.followUse {
			// The first ones have been idle for longest.
			removed = append(removed, a.removeFirst(len(a.idle)+a.usage.inUse-a.usage.wanted(now))...)
		}
		if len(a.idle) == 0 && a.usage.peak(now) == 0 {
			delete(p.addresses, address)
		}
	}
	return removed
}

func (a *addressPool) removeExpired(now clock.Time) []*conn {
	var removed, kept []*conn
	for _, c := range a.idle {
		if now < c.idleUntil {
			kept = append(kept, c)
			continue
		}
		removed = append(removed, c)
	}
	a.idle = kept
	return removed
}

func (a *addressPool) removeFirst(n int) []*conn {
	n = min(max(0, n), len(a.idle))
	removed := a.idle[:n]
	a.idle = slices.Clone(a.idle[n:])
	return removed
}

// closeIdle closes all idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.addresses[address]
	if !ok {
		return
	}
	for _, c := range a.idle {
		_ = c.Close()
	}
	a.idle = nil
}
