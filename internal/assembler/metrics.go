// expvar's metrics are per process, but in tests and in the demo a process runs several nodes; therefore each node's metrics
// are published under its id.
//
// Example: GET /debug/vars → {"jackdawtide":{"ice-1.1f2e3d4c":{"counters":{"entered":12,…},…}},…}

package assembler

import (
	"expvar"

	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

// nodeMetrics is global because expvar has only global variables.
var nodeMetrics = expvar.NewMap("jackdawtide")

type metrics struct {
	Preset     identifier.Preset
	Version    identifier.Version
	SilenceMs  int64
	Calls      int
	Deliveries int
	Counters   reducer.CountersDump
	RateTokens granter.Counters
	Backends   []reducer.BackendDump
	// HeldBytes is what all connections hold, HeldBytesLimit what they may hold together, HeldBytesRefusals how often there was no
	// room for more.
	HeldBytes, HeldBytesLimit, HeldBytesRefusals int64
	// RefusedConnections counts the connections refused, by reason.
	RefusedConnections                                map[pipeliner.RefusalReason]int64
	Handshakes, HandshakesVerified, HandshakesRefused int64
}

func publishMetrics(s *stateReader, b *bounds, t *transporter.Transporter) {
	nodeMetrics.Set(string(s.id), expvar.Func(func() any {
		d := s.Dump()
		traffic := t.Stats()
		return inspector.Camel(metrics{
			Preset:     d.Status.Preset,
			Version:    d.Status.Version,
			SilenceMs:  int64(d.Status.Silence),
			Calls:      d.Calls,
			Deliveries: d.Deliveries,
			Counters:   d.Counters,
			RateTokens: d.Rates.Counters,
			Backends:   d.Backends,

			HeldBytes:          b.memory.Held(),
			HeldBytesLimit:     b.memory.Limit(),
			HeldBytesRefusals:  b.memory.Refused(),
			RefusedConnections: b.refusals.snapshot(),
			Handshakes:         traffic.Handshakes,
			HandshakesVerified: traffic.HandshakesVerified,
			HandshakesRefused:  traffic.HandshakesRefused,
		})
	}))
}

// The published function refers to the node's state, which would otherwise stay in memory after the node has stopped.
func withdrawMetrics(id identifier.Node) {
	nodeMetrics.Delete(string(id))
}
