package logkeeper

// The handler serves the platform's published log protocol (docs/LOG.md) and two paths that only the stand-in has:
// /switches and /forget.
//
// Example: curl -X POST -d '{"outage":true}' http://127.0.0.1:7000/switches

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

const (
	// maxBodyBytes bounds a request body: a record of the largest size in base64, with its field name.
	maxBodyBytes = 2 * appender.MaxRecord
	// maxWait bounds the wait of a read, whatever the reader requests.
	maxWait = time.Minute
)

// switchesWire has pointers so that a switch missing in a request keeps its value.
type switchesWire struct {
	Outage      *bool  `json:"outage"`
	DelayMs     *int64 `json:"delayMs"`
	LostAnswers *int   `json:"lostAnswers"`
	KeepCount   *int   `json:"keepCount"`
	KeepAgeMs   *int64 `json:"keepAgeMs"`
}

type forgetWire struct {
	Before int64 `json:"before"`
}

// Handler returns the log's HTTP handler.
func (k *Keeper) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(appender.RecordsPath, k.serveAppend).Methods(http.MethodPost)
	m.HandleFunc(appender.RecordsPath, k.serveRead).Methods(http.MethodGet)
	m.HandleFunc("/switches", k.serveSet).Methods(http.MethodPost)
	m.HandleFunc("/switches", k.serveSwitches).Methods(http.MethodGet)
	m.HandleFunc("/forget", k.serveForget).Methods(http.MethodPost)
	return m
}

func (k *Keeper) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		fail(w, reserver.StatusOf(err, http.StatusRequestEntityTooLarge), err)
		return
	}
	data, err := appender.DecodeAppend(body)
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	o, err := k.Append(r.Context(), data)
	if err != nil {
		fail(w, statusOf(err), err)
		return
	}
	answer, err := appender.EncodeOffset(o)
	reply(w, http.StatusCreated, answer, err)
}

func (k *Keeper) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := queryNumber(r, "from")
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	limit, err := queryNumber(r, "limit")
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	waitMs, err := queryNumber(r, "waitMs")
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	b, err := k.Read(r.Context(), appender.Offset(from), int(limit), wait)
	var expired appender.Expired
	if errors.As(err, &expired) {
		answer, err := appender.EncodeBatch(b)
		reply(w, http.StatusGone, answer, err)
		return
	}
	if err != nil {
		fail(w, statusOf(err), err)
		return
	}
	answer, err := appender.EncodeBatch(b)
	reply(w, http.StatusOK, answer, err)
}

func (k *Keeper) serveSet(w http.ResponseWriter, r *http.Request) {
	var f switchesWire
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	k.Set(f.applyTo(k.Switches()))
	k.serveSwitches(w, r)
}

func (k *Keeper) serveSwitches(w http.ResponseWriter, _ *http.Request) {
	answer, err := json.Marshal(wireOf(k.Switches()))
	reply(w, http.StatusOK, answer, err)
}

func (k *Keeper) serveForget(w http.ResponseWriter, r *http.Request) {
	var f forgetWire
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	k.Forget(appender.Offset(f.Before))
	reply(w, http.StatusOK, []byte("{}"), nil)
}

func (f switchesWire) applyTo(s Switches) Switches {
	if f.Outage != nil {
		s.Outage = *f.Outage
	}
	if f.DelayMs != nil {
		s.Delay = clock.Duration(*f.DelayMs)
	}
	if f.LostAnswers != nil {
		s.LostAnswers = *f.LostAnswers
	}
	if f.KeepCount != nil {
		s.KeepCount = *f.KeepCount
	}
	if f.KeepAgeMs != nil {
		s.KeepAge = clock.Duration(*f.KeepAgeMs)
	}
	return s
}

func wireOf(s Switches) switchesWire {
	delay, age := int64(s.Delay), int64(s.KeepAge)
	return switchesWire{
		Outage:      &s.Outage,
		DelayMs:     &delay,
		LostAnswers: &s.LostAnswers,
		KeepCount:   &s.KeepCount,
		KeepAgeMs:   &age,
	}
}

// queryNumber returns a numeric query parameter, or zero if it is missing.
func queryNumber(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("parameter %s: %q is no whole number from 0", name, text)
	}
	return n, nil
}

func statusOf(err error) int {
	var large TooLargeError
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

func reply(w http.ResponseWriter, status int, answer []byte, err error) {
	if err != nil {
		fail(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A reader whose connection is lost reads again from the same offset, so a failed write needs no handling here.
	_, _ = w.Write(answer)
}

func fail(w http.ResponseWriter, status int, err error) {
	var u appender.Unavailable
	if errors.As(err, &u) {
		err = u.Cause
	}
	http.Error(w, err.Error(), status)
}
