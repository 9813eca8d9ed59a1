package commander

// The log's server counts the connections that it refuses, and serves the counts and what its connections hold as metrics.
//
// Example: GET /metrics gives jackdawtide_log_refused_connections_total{reason="longHead"} 3 and more.

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

const logMetricsPath = "/metrics"

type refusalCounts struct {
	mu       sync.Mutex
	counts   map[pipeliner.RefusalReason]int64
	loggedAt time.Time
	leftOut  int
}

// add counts a refusal, and logs one a second.
func (r *refusalCounts) add(logger *log.Logger, reason pipeliner.RefusalReason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[pipeliner.RefusalReason]int64{}
	}
	r.counts[reason]++
	if time.Since(r.loggedAt) < time.Second {
		r.leftOut++
		return
	}
	logger.Warn("connection refused", "reason", string(reason), "leftOut", r.leftOut)
	r.loggedAt, r.leftOut = time.Now(), 0
}

// serveOr returns a handler that serves the metrics, and all other requests with h.
func (r *refusalCounts) serveOr(h http.Handler, pool *reserver.Pool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != logMetricsPath || q.Method != http.MethodGet {
			h.ServeHTTP(w, q)
			return
		}
		r.mu.Lock()
		counts := maps.Clone(r.counts)
		r.mu.Unlock()
		// A failed write means that the reader has left.
		_, _ = fmt.Fprintf(w, "jackdawtide_log_held_bytes %d\njackdawtide_log_held_bytes_limit %d\n", pool.Held(), pool.Limit())
		for _, reason := range slices.Sorted(maps.Keys(counts)) {
			_, _ = fmt.Fprintf(w, "jackdawtide_log_refused_connections_total{reason=%q} %d\n", string(reason), counts[reason])
		}
	})
}
