package mesher

// The metrics address serves metrics as text for scrapers, and the process's expvar variables as JSON.
//
// Example: GET /metrics gives jackdawtide_attempts_total{outcome="answered"} 1042 and more.

import (
	"expvar"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
)

// addGauges registers gauges that read the conductor's state at each scrape.
func (n *node) addGauges() {
	gauge := func(name string, read func(s conductor.State) float64) {
		n.recorder.Gauge(name, func() float64 {
			var s conductor.State
			n.relayer.View(func(c *conductor.Conductor, now clock.Time) { s = c.Dump(now) })
			return read(s)
		})
	}
	gauge("endpoint_running", func(s conductor.State) float64 { return float64(s.Running) })
	gauge("endpoint_queued", func(s conductor.State) float64 { return float64(s.Queued) })
	gauge("endpoint_limit", func(s conductor.State) float64 { return float64(s.Limit) })
	gauge("endpoint_excess", func(s conductor.State) float64 { return s.Excess })
	gauge(`refused_fraction{reason="computed"}`, func(s conductor.State) float64 { return s.RefusedComputed })
	gauge(`refused_fraction{reason="measured"}`, func(s conductor.State) float64 { return s.RefusedMeasured })
	gauge("nodes_reporting_arrivals", func(s conductor.State) float64 { return float64(s.ArrivalReporters) })
	gauge("endpoint_cold_seconds", func(s conductor.State) float64 { return float64(s.ColdLeft) / float64(clock.Second) })
	gauge("other_endpoints_cold", func(s conductor.State) float64 { return float64(s.ColdOthers) })
	gauge("endpoint_limited", func(s conductor.State) float64 {
		if s.Limited {
			return 1
		}
		return 0
	})
	gauge("endpoint_rate_limit", func(s conductor.State) float64 { return s.RateLimit })
	gauge("endpoint_rate_limit_seconds", func(s conductor.State) float64 { return float64(s.LimitAge) / float64(clock.Second) })
	gauge("endpoint_held_back", func(s conductor.State) float64 { return float64(s.HeldBack) })
	gauge("other_endpoints_limited", func(s conductor.State) float64 { return float64(s.OtherLimits) })
	gauge("services_declining", func(s conductor.State) float64 { return float64(len(s.Declining)) })
	gauge("root_retries_granted", func(s conductor.State) float64 { return float64(s.RootRetriesGranted) })
	gauge("root_retries_refused", func(s conductor.State) float64 { return float64(s.RootRetriesRefused) })
	gauge("nested_retries_granted", func(s conductor.State) float64 { return float64(s.NestedRetriesGranted) })
	gauge("nested_retries_refused", func(s conductor.State) float64 { return float64(s.NestedRetriesRefused) })
	gauge("failed_slot_seconds", func(s conductor.State) float64 { return float64(s.FailedSlotTime) / float64(clock.Second) })
	gauge("evacuated_domains", func(s conductor.State) float64 { return float64(len(s.Evacuated)) })
	gauge("orders_offset", func(s conductor.State) float64 { return float64(s.OrdersNext) })
	gauge("requests_open", func(s conductor.State) float64 { return float64(s.Open) })
	gauge("members", func(s conductor.State) float64 { return float64(len(s.Members)) })
	n.recorder.Gauge("held_bytes", func() float64 { return float64(n.memory.Held()) })
	n.recorder.Gauge("held_bytes_limit", func() float64 { return float64(n.memory.Limit()) })
	n.recorder.Gauge("held_bytes_refusals", func() float64 { return float64(n.memory.Refused()) })
	n.recorder.Gauge("endpoint_unowned", func() float64 { return float64(n.relayer.Unowned()) })
	n.recorder.Gauge("endpoint_connections_opened", func() float64 {
		opened, _ := n.relayer.EndpointConnections()
		return float64(opened)
	})
	n.recorder.Gauge("endpoint_connections_passed_over", func() float64 {
		_, passedOver := n.relayer.EndpointConnections()
		return float64(passedOver)
	})
	gauge("configuration_version", func(s conductor.State) float64 { return float64(s.Version) })
}

func (n *node) metricsRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.recorder.WriteMetrics(w)
	}).Methods(http.MethodGet)
	router.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	return router
}
