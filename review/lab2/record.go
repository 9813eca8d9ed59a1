package main

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// request is what a caller saw of one request, and what endpoints did with it.
type request struct {
	id, node       string
	sent, answered time.Duration
	// status is 0 if there was no answer.
	status int
	// ahead is whether the request was sent behind another on a kept connection.
	ahead    bool
	ran      bool
	ranAt    time.Duration
	endpoint string
}

// record holds all requests of a run; times count from its beginning.
type record struct {
	begun    time.Time
	mu       sync.Mutex
	requests map[string]*request
	notes    []string
}

func newRecord() *record {
	return &record{begun: time.Now(), requests: map[string]*request{}}
}

func (r *record) now() time.Duration { return time.Since(r.begun) }

// get returns the record of a request; the caller holds the lock.
func (r *record) get(id string) *request {
	q, ok := r.requests[id]
	if !ok {
		q = &request{id: id}
		r.requests[id] = q
	}
	return q
}

func (r *record) addSent(id, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.get(id)
	q.node, q.sent = node, r.now()
}

func (r *record) addSentAhead(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(id).ahead = true
}

func (r *record) addAnswer(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.get(id)
	q.status, q.answered = status, r.now()
}

func (r *record) addRun(run standin.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.get(run.Request)
	if !q.ran {
		q.ran, q.ranAt, q.endpoint = true, run.At.Sub(r.begun), run.Instance
	}
}

// note adds a line about what was done to the system.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf("%8d ms  ", r.now().Milliseconds())+fmt.Sprintf(format, values...))
}

// sorted returns the requests in the order in which they were sent.
func (r *record) sorted() []*request {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.sent, b.sent) })
	return all
}

// write writes the notes and one line for each request.
func (r *record) write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	for _, n := range r.notes {
		fmt.Fprintln(w, n)
	}
	fmt.Fprintln(w, "request, node, sent ms, answered ms, status (0: none), run ms (-1: not run), endpoint")
	for _, q := range r.sorted() {
		ranAt := int64(-1)
		if q.ran {
			ranAt = q.ranAt.Milliseconds()
		}
		fmt.Fprintln(w, q.id, q.node, q.sent.Milliseconds(), q.answered.Milliseconds(), q.status, ranAt, q.endpoint)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}

// quota is a tenant's limit and the tolerance with which the rule bounds it.
type quota struct {
	ratePerS, burst float64
	window          time.Duration
	excess, slack   float64
}

func (q quota) allowed() int {
	return int((q.ratePerS*q.window.Seconds()+q.burst)*(1+q.excess) + q.slack)
}

// most returns the largest number of requests that were both sent and run within some window, and when that window begins.
func (q quota) most(all []*request) (most int, begins time.Duration) {
	for i, first := range all {
		n := 0
		for _, other := range all[i:] {
			if other.sent > first.sent+q.window {
				break
			}
			if other.ran && other.ranAt <= first.sent+q.window {
				n++
			}
		}
		if n > most {
			most, begins = n, first.sent
		}
	}
	return most, begins
}
