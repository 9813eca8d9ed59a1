package mesher

// Counters are served as the process's variables; scrapers read them from the metrics address.

import (
	"expvar"
	"net/http"

	"github.com/gorilla/mux"
)

func (n *node) metricsRouter() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", expvar.Handler()).Methods(http.MethodGet)
	return router
}
