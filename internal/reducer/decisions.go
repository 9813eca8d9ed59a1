// A node keeps its most recent decisions in a ring buffer, each with the data that it was based on, so that operators
// can explain a refusal without searching logs.
//
// Example: explain 0190… → "shed" decided by node "a2" under version 12, rank 0x8123, threshold 0x7fff.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// decisionRingSize is the number of decisions that a node keeps.
const decisionRingSize = 4096

// Decision is a decision on a call or delivery at this node, with the data that it was based on.
type Decision struct {
	Request   identifier.Request
	Root      identifier.Request
	Team      identifier.Team
	Service   identifier.Service
	Verdict   string
	DecidedBy identifier.Node
	Version   identifier.Version
	Preset    identifier.Preset
	Rank      identifier.Rank
	Threshold identifier.Threshold
	Attempts  uint16
	Paid      granter.Paid
	Wall      clock.Wall
}

type decisionRing struct {
	entries []Decision
	next    int
}

func newDecisionRing(size int) *decisionRing {
	return &decisionRing{entries: make([]Decision, size)}
}

func (t *decisionRing) add(d Decision) {
	t.entries[t.next] = d
	t.next = (t.next + 1) % len(t.entries)
}

// find returns the decisions on a request and on its nested calls, oldest first.
func (t *decisionRing) find(r identifier.Request) []Decision {
	var found []Decision
	for i := range t.entries {
		d := t.entries[(t.next+i)%len(t.entries)]
		if d.Request == r || (d.Root == r && r != "") {
			found = append(found, d)
		}
	}
	return found
}

// Explain returns this node's decisions on a request and on its nested calls, oldest first.
func (s *State) Explain(r identifier.Request) []Decision {
	return s.decisions.find(r)
}

func (s *State) record(c *call, verdict string, by identifier.Node) {
	d := Decision{
		Request:   c.request,
		Root:      c.root,
		Team:      c.team,
		Service:   c.service,
		Verdict:   verdict,
		DecidedBy: by,
		Version:   s.configurer.Version(),
		Rank:      c.rank,
		Attempts:  c.attempt,
		Paid:      c.payment,
		Wall:      s.wall,
	}
	if s.rules != nil {
		d.Preset = s.rules.preset.Name
		d.Threshold = s.thresholds.ThresholdRoute(c.service, c.route, s.now)
	}
	s.decisions.add(d)
}

func (s *State) recordDelivery(d *delivery, r Reason) {
	entry := Decision{
		Request:   d.request,
		Root:      d.root,
		Team:      d.team,
		Verdict:   string(r),
		DecidedBy: s.options.Self,
		Version:   s.configurer.Version(),
		Rank:      d.rank,
		Wall:      s.wall,
	}
	if d.backend != nil {
		entry.Service = d.backend.service
		entry.Threshold = d.backend.gate.Threshold()
	}
	s.decisions.add(entry)
}
