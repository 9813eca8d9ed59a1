// A failure domain is partitioned at the transport and at the log, as if a network switch had failed: its nodes and
// backend servers keep running, but no traffic enters or leaves the domain.
//
// Example: f.Partition("abashiri") … f.Heal("abashiri").

package launcher

import (
	"context"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// Partition drops all traffic between a failure domain and the others, and between the domain and the log.
func (f *Fleet) Partition(d identifier.FailureDomain) { f.setPartitioned(d, true) }

// Heal ends a partition.
func (f *Fleet) Heal(d identifier.FailureDomain) { f.setPartitioned(d, false) }

func (f *Fleet) setPartitioned(d identifier.FailureDomain, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[d] = partitioned
}

func (f *Fleet) isPartitioned(d identifier.FailureDomain, peer identifier.Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	other, known := f.domainOf[peer]
	if !known {
		return f.partitioned[d]
	}
	return other != d && (f.partitioned[d] || f.partitioned[other])
}

func (f *Fleet) isLogPartitioned(d identifier.FailureDomain) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned[d]
}

// partitionedLog is the log as seen from one failure domain; it fails while the domain is partitioned.
type partitionedLog struct {
	fleet  *Fleet
	domain identifier.FailureDomain
	log    appender.Log
}

// Append adds a record unless the domain is partitioned.
func (l partitionedLog) Append(ctx context.Context, data []byte) (appender.Offset, error) {
	if l.fleet.isLogPartitioned(l.domain) {
		return 0, appender.Unavailable{NotSent: true}
	}
	return l.log.Append(ctx, data)
}

// Read reads records unless the domain is partitioned.
func (l partitionedLog) Read(ctx context.Context, from appender.Offset, limit int, wait time.Duration) (appender.Batch, error) {
	if l.fleet.isLogPartitioned(l.domain) {
		return appender.Batch{}, appender.Unavailable{NotSent: true}
	}
	return l.log.Read(ctx, from, limit, wait)
}
