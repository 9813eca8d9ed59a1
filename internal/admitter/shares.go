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
	memory  clock.Duration
	totals  map[identifier.Team]*decaying
	index   map[origin]int
	origins []originCount
	hand    int
}

type origin struct {
	team  identifier.Team
	entry identifier.Node
}

type originCount struct {
	origin origin
	count  decaying
}

const (
	// idleMemories is after how many memories without a call an entry is forgotten.
	idleMemories = 4
	// sweep is how many entries each call looks at to find those.
	sweep = 2
)

// NewShares returns shares without a call.
func NewShares(o FairnessOptions) *Shares {
	return &Shares{
		memory: o.withDefaults().Memory,
		totals: make(map[identifier.Team]*decaying),
		index:  make(map[origin]int),
	}
}

// Note counts an admitted call that came straight from its entry, and returns that entry's part of the team's
// calls for the answer to carry; 255 is all.
func (s *Shares) Note(team identifier.Team, entry identifier.Node, now clock.Time) uint8 {
	s.forget(now)
	total, ok := s.totals[team]
	if !ok {
		total = &decaying{}
		s.totals[team] = total
	}
	total.add(now, s.memory)
	key := origin{team, entry}
	i, ok := s.index[key]
	if !ok {
		i = len(s.origins)
		s.index[key] = i
		s.origins = append(s.origins, originCount{origin: key})
	}
	here := &s.origins[i].count
	here.add(now, s.memory)
	return uint8(math.Ceil(math.MaxUint8 * min(1, here.count/total.count)))
}

// Known returns how many pairs of team and entry are counted.
func (s *Shares) Known() int {
	return len(s.origins)
}

// forget drops idle entries, a few looked at for each call, so that replaced nodes do not pile up.
func (s *Shares) forget(now clock.Time) {
	for range min(sweep, len(s.origins)) {
		s.hand = (s.hand + 1) % len(s.origins)
		idle := s.origins[s.hand]
		if now.Sub(idle.count.when) <= idleMemories*s.memory {
			continue
		}
		last := len(s.origins) - 1
		s.origins[s.hand] = s.origins[last]
		s.index[s.origins[s.hand].origin] = s.hand
		s.origins = s.origins[:last]
		delete(s.index, idle.origin)
	}
}

// decaying is a count in which each call weighs less the older it is.
type decaying struct {
	count float64
	when  clock.Time
}

func (d *decaying) add(now clock.Time, memory clock.Duration) {
	d.count = d.at(now, memory) + 1
	d.when = now
}

func (d *decaying) at(now clock.Time, memory clock.Duration) float64 {
	if now == d.when {
		return d.count
	}
	return d.count * math.Exp(-float64(now.Sub(d.when))/float64(memory))
}
