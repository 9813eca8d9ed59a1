// Backend servers announce themselves to the node on their VM, over loopback, in JSON. There is no other list of them. A
// restarted node answers the next heartbeat with 404, and the backend server then announces itself again.
//
// Example: POST /-/backends {"endpoint":"ice-1","service":"ice","address":"127.0.0.1:9000","slots":40,
// "connectionLimit":340}.

package deliverer

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// maxAnnouncementBytes bounds the body of an announcement or a heartbeat.
const maxAnnouncementBytes = 16 << 10

// Load is reported as a fraction of the slots and stored in thousandths; larger values are capped at maxLoad.
const (
	loadUnit = 1000
	maxLoad  = 100 * loadUnit
)

// BackendState is the state of an announced backend server in the reducer.
type BackendState struct {
	State    string
	InFlight int
	Queued   int
}

// StateReader looks up an announced backend server.
type StateReader interface {
	BackendState(id identifier.Endpoint) (BackendState, bool)
}

type announcement struct {
	Endpoint        string `json:"endpoint"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	Slots           int    `json:"slots"`
	ConnectionLimit int    `json:"connectionLimit"`
	ColdStartMs     int64  `json:"coldStartMs"`
}

type heartbeat struct {
	Load float64 `json:"load"`
}

type stateAnswer struct {
	State    string `json:"state"`
	InFlight int    `json:"inFlight"`
	Queued   int    `json:"queued"`
}

// Routes adds the handlers for backend servers to the router of the local listener.
func (d *Deliverer) Routes(r *mux.Router, states StateReader) {
	r.HandleFunc("/-/backends", d.announce).Methods(http.MethodPost)
	r.HandleFunc("/-/backends/{id}/heartbeat", func(w http.ResponseWriter, q *http.Request) {
		d.heartbeat(w, q, states)
	}).Methods(http.MethodPost)
	r.HandleFunc("/-/backends/{id}", d.leave).Methods(http.MethodDelete)
	r.HandleFunc("/-/backends/{id}", func(w http.ResponseWriter, q *http.Request) {
		writeState(w, q, states)
	}).Methods(http.MethodGet)
}

func (d *Deliverer) announce(w http.ResponseWriter, q *http.Request) {
	var a announcement
	if err := decode(w, q, &a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := identifier.Endpoint(a.Endpoint)
	d.putBackend(id, a.Address, a.ConnectionLimit)
	d.performer.Apply(&reducer.BackendAnnounced{
		Endpoint:        id,
		Service:         identifier.Service(a.Service),
		Slots:           a.Slots,
		ConnectionLimit: a.ConnectionLimit,
		ColdStart:       clock.Duration(a.ColdStartMs),
	})
	w.WriteHeader(http.StatusNoContent)
}

// AnnouncementError reports an invalid field of an announcement.
type AnnouncementError struct {
	Field string
	Value any
	Want  string
}

// Error names the field, its value and the expected value.
func (e AnnouncementError) Error() string {
	return fmt.Sprintf("%s: %v: want %s", e.Field, e.Value, e.Want)
}

// maxColdStart bounds the cold start, which takes seconds.
const maxColdStart = clock.Hour

func (a announcement) check() error {
	switch {
	case len(a.Endpoint) > identifier.MaxNameBytes:
		return AnnouncementError{Field: "endpoint", Value: len(a.Endpoint), Want: atMost(identifier.MaxNameBytes, "bytes")}
	case len(a.Service) > identifier.MaxNameBytes:
		return AnnouncementError{Field: "service", Value: len(a.Service), Want: atMost(identifier.MaxNameBytes, "bytes")}
	case a.Slots > limiter.MaxSlots:
		return AnnouncementError{Field: "slots", Value: a.Slots, Want: atMost(limiter.MaxSlots, "slots")}
	case a.ConnectionLimit > limiter.MaxSlots:
		return AnnouncementError{Field: "connectionLimit", Value: a.ConnectionLimit, Want: atMost(limiter.MaxSlots, "connections")}
	case a.ColdStartMs > int64(maxColdStart):
		return AnnouncementError{Field: "coldStartMs", Value: a.ColdStartMs, Want: "at most an hour"}
	case a.Endpoint == "":
		return AnnouncementError{Field: "endpoint", Value: `""`, Want: "a name unique among all backend servers"}
	case a.Service == "":
		return AnnouncementError{Field: "service", Value: `""`, Want: "the name of a service"}
	case !identifier.IsAddress(a.Address):
		return AnnouncementError{Field: "address", Value: fmt.Sprintf("%.64q", a.Address), Want: "host:port with a port from 1 to 65535"}
	case a.Slots < 1:
		return AnnouncementError{Field: "slots", Value: a.Slots, Want: "at least 1"}
	case a.ConnectionLimit < 1:
		return AnnouncementError{Field: "connectionLimit", Value: a.ConnectionLimit, Want: "at least 1"}
	case a.ColdStartMs < 0:
		return AnnouncementError{Field: "coldStartMs", Value: a.ColdStartMs, Want: "0 or more"}
	}
	return nil
}

func atMost(n int, unit string) string {
	return fmt.Sprintf("at most %d %s", n, unit)
}

func (d *Deliverer) heartbeat(w http.ResponseWriter, q *http.Request, states StateReader) {
	id := identifier.Endpoint(mux.Vars(q)["id"])
	var h heartbeat
	if err := decode(w, q, &h); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if h.Load < 0 {
		http.Error(w, AnnouncementError{Field: "load", Value: h.Load, Want: "0 or more"}.Error(), http.StatusBadRequest)
		return
	}
	if _, known := states.BackendState(id); !known {
		http.Error(w, fmt.Sprintf("endpoint: %s: not announced here", id), http.StatusNotFound)
		return
	}
	d.performer.Apply(&reducer.BackendReported{Endpoint: id, Load: int(min(h.Load*loadUnit, maxLoad))})
	w.WriteHeader(http.StatusNoContent)
}

func (d *Deliverer) leave(w http.ResponseWriter, q *http.Request) {
	d.performer.Apply(&reducer.BackendLeaving{Endpoint: identifier.Endpoint(mux.Vars(q)["id"])})
	w.WriteHeader(http.StatusAccepted)
}

func writeState(w http.ResponseWriter, q *http.Request, states StateReader) {
	id := identifier.Endpoint(mux.Vars(q)["id"])
	s, known := states.BackendState(id)
	if !known {
		http.Error(w, fmt.Sprintf("endpoint: %s: not announced here", id), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(stateAnswer(s))
}

func decode(w http.ResponseWriter, q *http.Request, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}
