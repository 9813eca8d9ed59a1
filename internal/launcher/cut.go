// A failure domain is cut off at the transport and at the log, as a failed switch would do it: its nodes and backend
// servers go on, and nothing passes its border.
//
// Example: f.Cut("abashiri") … f.Heal("abashiri").

package launcher

import (
	"context"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// Cut separates a failure domain from the others and from the log.
func (f *Fleet) Cut(d identifier.FailureDomain) { f.setCut(d, true) }

// Heal ends Cut.
func (f *Fleet) Heal(d identifier.FailureDomain) { f.setCut(d, false) }

func (f *Fleet) setCut(d identifier.FailureDomain, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[d] = cut
}

func (f *Fleet) isCut(d identifier.FailureDomain, peer identifier.Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	other, known := f.of[peer]
	if !known {
		return f.cut[d]
	}
	return other != d && (f.cut[d] || f.cut[other])
}

func (f *Fleet) logIsCut(d identifier.FailureDomain) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[d]
}

// cutLog is the log as one failure domain reaches it.
type cutLog struct {
	fleet  *Fleet
	domain identifier.FailureDomain
	log    appender.Log
}

// Append adds a record unless the domain is cut off.
func (l cutLog) Append(ctx context.Context, data []byte) (appender.Offset, error) {
	if l.fleet.logIsCut(l.domain) {
		return 0, appender.Unavailable{NotSent: true}
	}
	return l.log.Append(ctx, data)
}

// Read reads records unless the domain is cut off.
func (l cutLog) Read(ctx context.Context, from appender.Offset, limit int, wait time.Duration) (appender.Batch, error) {
	if l.fleet.logIsCut(l.domain) {
		return appender.Batch{}, appender.Unavailable{NotSent: true}
	}
	return l.log.Read(ctx, from, limit, wait)
}
