package recorder

// Counters and histograms are served as text for scrapers. Their labels are reasons and outcomes, of which the product
// has a fixed few: a label for each team, route or id would grow with what callers send.
//
// Example: jackdawtide_refused_total{reason="overRate"} 17

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// meters holds the counters and histograms of one node.
type meters struct {
	set *metrics.Set
	mu  sync.Mutex
	// counters and histograms by label, so that a request makes no name anew.
	counters   map[string]*metrics.Counter
	histograms map[string]*metrics.Histogram
}

func newMeters() *meters {
	return &meters{
		set:        metrics.NewSet(),
		counters:   map[string]*metrics.Counter{},
		histograms: map[string]*metrics.Histogram{},
	}
}

func (m *meters) count(name, label, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.counters[name+value]
	if !ok {
		c = m.set.GetOrCreateCounter(fmt.Sprintf("jackdawtide_%s_total{%s=%q}", name, label, value))
		m.counters[name+value] = c
	}
	c.Inc()
}

func (m *meters) time(name, label, value string, d clock.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[name+value]
	if !ok {
		h = m.set.GetOrCreateHistogram(fmt.Sprintf("jackdawtide_%s_seconds{%s=%q}", name, label, value))
		m.histograms[name+value] = h
	}
	h.Update(float64(d) / float64(clock.Second))
}

// Gauge adds a figure that is read when metrics are.
func (r *Recorder) Gauge(name string, read func() float64) {
	r.meters.set.GetOrCreateGauge("jackdawtide_"+name, read)
}

// WriteMetrics writes all metrics as text for scrapers, those of the process included.
func (r *Recorder) WriteMetrics(w io.Writer) {
	r.meters.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
