// The admin endpoint is read-only. It listens on loopback or requires mutual TLS, since a dump reveals who calls what.
//
// Example: GET /explain/0190c… returns the node's decisions on that request and the calls nested in it.

package inspector

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// Source is the state that the admin endpoint reads; each method returns a consistent view of one moment.
type Source interface {
	Dump() reducer.Dump
	Explain(r identifier.Request) []reducer.Decision
	Status() Status
}

// Handler returns the admin endpoint.
func Handler(s Source) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(DumpPath, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, Camel(s.Dump()))
	}).Methods(http.MethodGet)
	r.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.Status())
	}).Methods(http.MethodGet)
	r.HandleFunc(ExplainPath+"{id}", func(w http.ResponseWriter, q *http.Request) {
		explain(w, s, identifier.Request(mux.Vars(q)["id"]))
	}).Methods(http.MethodGet)
	r.Handle(MetricsPath, expvar.Handler()).Methods(http.MethodGet)
	return r
}

func explain(w http.ResponseWriter, s Source, id identifier.Request) {
	decisions := s.Explain(id)
	if len(decisions) == 0 {
		http.Error(w, "request "+string(id)+": not among the last decisions of this node", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"requestId": string(id), "decisions": Camel(decisions)})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A failed write means that the operator has disconnected and needs no answer.
	_ = encoder.Encode(v)
}
