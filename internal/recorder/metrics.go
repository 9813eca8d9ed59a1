package recorder

// Counters and histograms are served as text for scrapers. Labels are reasons and outcomes, which are small fixed sets:
// a label per team, route or id would make the number of time series grow with the traffic that callers send.
//
// Example: jackdawtide_refused_total{reason="overRate"} 17

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// meters holds the counters and histograms of one node.
type meters struct {
	set *metrics.Set
	mu  sync.Mutex
	// counters and histograms are cached by label values, so that a request does not format a metric name again.
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

func (m *meters) increment(name, label, value string) {
	m.add(name, 1, label, value)
}

// add adds n to a counter; labels alternate between name and value.
func (m *meters) add(name string, n int64, labels ...string) {
	key := counterKey(name, labels)
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.counters[key]
	if !ok {
		c = m.set.GetOrCreateCounter(counterName(name, labels))
		m.counters[key] = c
	}
	c.AddInt64(n)
}

// counterKey returns the cache key of a counter: its name and its label values.
func counterKey(name string, labels []string) string {
	key := name + "{"
	for i := 1; i < len(labels); i += 2 {
		key += labels[i] + " "
	}
	return strings.TrimSuffix(key, " ")
}

func counterName(name string, labels []string) string {
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return fmt.Sprintf("jackdawtide_%s_total{%s}", name, strings.Join(pairs, ","))
}

func (m *meters) observeDuration(name, label, value string, d clock.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms[name+value]
	if !ok {
		h = m.set.GetOrCreateHistogram(fmt.Sprintf("jackdawtide_%s_seconds{%s=%q}", name, label, value))
		m.histograms[name+value] = h
	}
	h.Update(float64(d) / float64(clock.Second))
}

// counterValues returns the values of all counters of one name, keyed by their label values.
func (m *meters) counterValues(name string) map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[string]uint64{}
	for key, c := range m.counters {
		if labels, ok := strings.CutPrefix(key, name+"{"); ok {
			counts[labels] = c.Get()
		}
	}
	return counts
}

// Gauge registers a gauge whose value is read whenever metrics are written.
func (r *Recorder) Gauge(name string, read func() float64) {
	r.meters.set.GetOrCreateGauge("jackdawtide_"+name, read)
}

// WriteMetrics writes all metrics, including those of the process, in the text format of Prometheus.
func (r *Recorder) WriteMetrics(w io.Writer) {
	r.meters.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
