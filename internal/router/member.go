// An endpoint's own figures lag or lie, so the router scores it by what this node has measured: its calls in
// flight there and the headroom in its answers, which fades to neutral when it grows old.
//
// Example: headroom 255 and no call in flight scores 0; headroom 0 and 10 of 100 slots in flight scores 1.1.

package router

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

type member struct {
	endpoint Endpoint
	group    *group
	place    int
	inFlight int
	// since is when the endpoint began to warm up, if it does.
	since   clock.Time
	warming bool

	headroom uint8
	measured clock.Time
	known    bool

	failures  int
	ejections int
	until     clock.Time
	probing   bool
}

// score is lower for the better choice: the used part as measured, and this node's own calls in flight.
func (m *member) score(now clock.Time, o Options) float64 {
	slots := float64(max(m.endpoint.Slots, 1)) * m.warmth(now, o)
	own := float64(m.inFlight) / slots
	return own + m.used(now, o)
}

const neutralUse = 0.5

// used is the measured used part of the endpoint's limit, fading to neutral with age.
func (m *member) used(now clock.Time, o Options) float64 {
	if !m.known {
		return neutralUse
	}
	used := 1 - float64(m.headroom)/math.MaxUint8
	age := float64(now.Sub(m.measured)) / float64(o.HeadroomAge)
	fade := min(1, max(0, age))
	return used + fade*(neutralUse-used)
}

const coldestPart = 0.1

// warmth is the part of its slots that a cold or returned endpoint is trusted with.
func (m *member) warmth(now clock.Time, o Options) float64 {
	if !m.warming {
		return 1
	}
	age := float64(now.Sub(m.since)) / float64(o.ColdStart)
	return min(1, max(coldestPart, age))
}

func (m *member) warmUp(now clock.Time) {
	m.since = now
	m.warming = true
}

// full tells that this node has as many calls there as connections are allowed.
func (m *member) full() bool {
	return m.endpoint.ConnectionLimit > 0 && m.inFlight >= m.endpoint.ConnectionLimit
}
