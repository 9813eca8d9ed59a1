// What listeners refuse of clients that exceed their bounds is counted for the metrics, and logged at most once a second for each reason.
//
// Example: a crowd sends heads without end: one line "connection refused" a second, with "leftOut" 299.

package assembler

import (
	"maps"
	"net"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
)

type refusals struct {
	logger *log.Logger
	clock  *clock.Clock

	mu     sync.Mutex
	counts map[pipeliner.RefusalReason]int64
	logged map[pipeliner.RefusalReason]refusalLine
}

// refusalLine is when a reason was last logged, and how many refusals have been left out since.
type refusalLine struct {
	at      clock.Time
	leftOut int
}

func newRefusals(l *log.Logger, c *clock.Clock) *refusals {
	return &refusals{
		logger: l, clock: c,
		counts: map[pipeliner.RefusalReason]int64{}, logged: map[pipeliner.RefusalReason]refusalLine{},
	}
}

// add counts a refusal by a listener.
func (r *refusals) add(listener string, reason pipeliner.RefusalReason, from net.Addr) {
	now := r.clock.Now()
	r.mu.Lock()
	r.counts[reason]++
	last, before := r.logged[reason]
	due := !before || now.Sub(last.at) >= clock.Second
	if due {
		r.logged[reason] = refusalLine{at: now}
	} else {
		r.logged[reason] = refusalLine{at: last.at, leftOut: last.leftOut + 1}
	}
	r.mu.Unlock()
	if due {
		r.logger.Warn("connection refused", "listener", listener, "reason", string(reason), "from", from.String(), "leftOut", last.leftOut)
	}
}

// snapshot returns the counts by reason.
func (r *refusals) snapshot() map[pipeliner.RefusalReason]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}
