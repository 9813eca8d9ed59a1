// The admin endpoint and the handlers for backend servers read the node's state through the stateReader. It reads under
// the performer's lock, so that each answer is consistent.

package assembler

import (
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
	"github.com/jackdawtide/jackdawtide/internal/performer"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

type stateReader struct {
	performer *performer.Performer
	state     *reducer.State
	domain    identifier.FailureDomain
	id        identifier.Node
}

func newStateReader(o Options, id identifier.Node, p *performer.Performer, s *reducer.State) *stateReader {
	return &stateReader{performer: p, state: s, domain: o.Settings.Domain, id: id}
}

// Dump returns the current state.
func (s *stateReader) Dump() reducer.Dump {
	var d reducer.Dump
	s.performer.View(func(now clock.Time) { d = s.state.Dump(now) })
	return d
}

// Explain returns the node's decisions on a request.
func (s *stateReader) Explain(r identifier.Request) []reducer.Decision {
	var d []reducer.Decision
	s.performer.View(func(clock.Time) { d = s.state.Explain(r) })
	return d
}

// Status returns the configuration in force at this node and, as far as their reports were received, at the other nodes
// of its failure domain.
func (s *stateReader) Status() inspector.Status {
	var own reducer.Status
	var fleet map[identifier.Node]reducer.Status
	var leaving bool
	s.performer.View(func(now clock.Time) {
		own = s.state.Status(now)
		fleet = s.state.FleetStatus()
		leaving = s.state.Leaving()
	})
	status := inspector.Status{Self: s.nodeStatus(s.id, own)}
	status.Self.Leaving = leaving
	for n, st := range fleet {
		if n != s.id {
			status.Fleet = append(status.Fleet, s.nodeStatus(n, st))
		}
	}
	slices.SortFunc(status.Fleet, func(a, b inspector.NodeStatus) int { return strings.Compare(a.Node, b.Node) })
	return status
}

// silenceUnknown is the silence in the status of a node that has never had information from the log.
const silenceUnknown = -1

func (s *stateReader) nodeStatus(n identifier.Node, st reducer.Status) inspector.NodeStatus {
	silence := int64(st.Silence)
	if st.Silence > clock.Hour*24*365 {
		silence = silenceUnknown
	}
	return inspector.NodeStatus{
		Node:          string(n),
		FailureDomain: string(s.domain),
		Preset:        string(st.Preset),
		Version:       int64(st.Version),
		SilenceMs:     silence,
	}
}

// BackendState returns the state of one backend server of this VM.
func (s *stateReader) BackendState(id identifier.Endpoint) (deliverer.BackendState, bool) {
	var b reducer.BackendDump
	var ok bool
	s.performer.View(func(clock.Time) { b, ok = s.state.BackendState(id) })
	return deliverer.BackendState{State: b.State, InFlight: b.InFlight, Queued: b.Queued}, ok
}
