// Metrics are per process, and a process may hold several nodes in tests and in the demo; so they stand under the id of
// their node.
//
// Example: GET /debug/vars → {"jackdawtide":{"ice-1.1f2e3d4c":{"counters":{"entered":12,…},…}},…}

package assembler

import (
	"expvar"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// nodeMetrics is a global because expvar knows no other.
var nodeMetrics = expvar.NewMap("jackdawtide")

type metrics struct {
	Preset     identifier.Preset
	Version    identifier.Version
	SilenceMs  int64
	Calls      int
	Deliveries int
	Counters   reducer.CountersDump
	Backends   []reducer.BackendDump
}

func publishMetrics(s *stateReader) {
	nodeMetrics.Set(string(s.id), expvar.Func(func() any {
		d := s.Dump()
		return inspector.Camel(metrics{
			Preset:     d.Status.Preset,
			Version:    d.Status.Version,
			SilenceMs:  int64(d.Status.Silence),
			Calls:      d.Calls,
			Deliveries: d.Deliveries,
			Counters:   d.Counters,
			Backends:   d.Backends,
		})
	}))
}

// A stopped node's state would otherwise be kept for as long as the process lives.
func withdrawMetrics(id identifier.Node) {
	nodeMetrics.Delete(string(id))
}
