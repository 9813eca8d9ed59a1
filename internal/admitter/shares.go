// A team whose calls come in at many nodes looks small at each of them. Ranked by that, it would get as many times
// its fair share as it has entries, at the cost of the others. The node that delivers the calls sees where they
// come from, and tells each entry its part of the team's calls with the answer.
//
// Example: of a team's recent calls 30 came from entry a and 10 from entry b: a is told 192 of 255, b 64.

package admitter

import (
	"math"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Shares measures, at a delivery node, from which entries each team's calls come; it is not safe for concurrent
// use.
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
	// idleTimeConstants is after how many memories without a call an entry is forgotten.
	idleTimeConstants = 4
	// evictionScanSize is how many entries each call looks at to find those.
	evictionScanSize = 2
)

// NewShares returns shares without a call.
func NewShares(o FairnessOptions) *Shares {
	return &Shares{
		timeConstant: o.withDefaults().TimeConstant,
		totals:       make(map[identifier.Team]*decayingCount),
		index:        make(map[origin]int),
	}
}

// CountCall counts an admitted call that came straight from its entry, and returns that entry's part of the team's
// calls for the answer to carry; 255 is all.
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

// Len returns how many pairs of team and entry are counted.
func (s *Shares) Len() int {
	return len(s.origins)
}

// evictIdle drops idle entries, a few looked at for each call, so that replaced nodes do not pile up.
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

// decayingCount is a count in which each call weighs less the older it is.
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
