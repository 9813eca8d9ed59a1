// A team whose calls enter at several nodes has only a part of its call rate at each of them. With ranks computed from
// that part, it would get several times its fair share, at the cost of the other teams. The delivery node counts from
// which entry node each call came and returns to each entry node, with the answer, its share of the team's calls.
//
// Example: of a team's recent calls 30 came from entry node a and 10 from b: a gets 192 of 255, b 64.

package admitter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Shares counts, at a delivery node, each team's recent calls by entry node; it is not safe for concurrent use.
type Shares struct {
	timeConstant   clock.Duration
	totals         map[identifier.Team]*decayingCount
	index          map[origin]int
	origins        []originCount
	evictionCursor int
}

type origin struct {
	team  identifier.Team
	entry identifier.Node
}

type originCount struct {
	origin origin
	count  decayingCount
}

const (
	// idleTimeConstants is the number of time constants without a call after which an entry node's count is evicted.
	idleTimeConstants = 4
	// evictionScanSize is how many counts each call checks for eviction.
	evictionScanSize = 2
)

// NewShares returns a Shares that has counted no call.
func NewShares(o FairnessOptions) *Shares {
	return &Shares{
		timeConstant: o.withDefaults().TimeConstant,
		totals:       make(map[identifier.Team]*decayingCount),
		index:        make(map[origin]int),
	}
}

// CountCall counts an admitted call that was not nested, and returns its entry node's share of the team's calls, to be
// sent with the answer; 255 stands for all of them.
func (s *Shares) CountCall(team identifier.Team, entry identifier.Node, now clock.Time) uint8 {
	s.evictIdle(now)
	total, ok := s.totals[team]
	if !ok {
		total = &decayingCount{}
		s.totals[team] = total
	}
	total.add(now, s.timeConstant)
	key := origin{team, entry}
	i, ok := s.index[key]
	if !ok {
		i = len(s.origins)
		s.index[key] = i
		s.origins = append(s.origins, originCount{origin: key})
	}
	entryCount := &s.origins[i].count
	entryCount.add(now, s.timeConstant)
	return uint8(math.Ceil(math.MaxUint8 * min(1, entryCount.count/total.count)))
}

// Len returns the number of pairs of team and entry node that have a count.
func (s *Shares) Len() int {
	return len(s.origins)
}

// evictIdle evicts the counts of idle entry nodes, so that replaced nodes do not accumulate. It checks only
// evictionScanSize counts, to bound the work per call.
func (s *Shares) evictIdle(now clock.Time) {
	for range min(evictionScanSize, len(s.origins)) {
		s.evictionCursor = (s.evictionCursor + 1) % len(s.origins)
		idle := s.origins[s.evictionCursor]
		if now.Sub(idle.count.updatedAt) <= idleTimeConstants*s.timeConstant {
			continue
		}
		last := len(s.origins) - 1
		s.origins[s.evictionCursor] = s.origins[last]
		s.index[s.origins[s.evictionCursor].origin] = s.evictionCursor
		s.origins = s.origins[:last]
		delete(s.index, idle.origin)
	}
}

// decayingCount is an exponentially decaying count of calls.
type decayingCount struct {
	count     float64
	updatedAt clock.Time
}

func (d *decayingCount) add(now clock.Time, timeConstant clock.Duration) {
	d.count = d.at(now, timeConstant) + 1
	d.updatedAt = now
}

func (d *decayingCount) at(now clock.Time, timeConstant clock.Duration) float64 {
	if now == d.updatedAt {
		return d.count
	}
	return d.count * math.Exp(-float64(now.Sub(d.updatedAt))/float64(timeConstant))
}
