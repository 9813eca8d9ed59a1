// A stand-in for a backend server with slots, a service time, a cold start, a load report that can be wrong, and nested
// calls. It records the starts of each request and whether it ever saw a key, so that checks can use its records
// rather than what the nodes report about themselves.
//
// Example: a Server with Service "board" and Calls [{ice GET /bulletins}] works for ServiceTime, calls ice through its
// node on behalf of the call it serves, and answers with its text and the nested one.

package responder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/pkg/announcer"
)

// Header fields that a node and its backend server exchange about a call.
const (
	CallHeader        = "Jackdawtide-Call"
	DeadlineHeader    = "Jackdawtide-Deadline-Ms"
	IdempotencyHeader = "Idempotency-Key"
	teamHeader        = "Jackdawtide-Team"
	requestIDHeader   = "Jackdawtide-Request-Id"
)

// AttemptHeader contains the id that a caller gave to an attempt. Nodes forward it like any other field of the caller.
const AttemptHeader = "Caller-Attempt"

// Nested is a call that the backend server makes to another service for each call it serves.
type Nested struct {
	Service string
	Method  string
	Path    string
}

// RunStart records one call that reached the backend server. A call counts as started on arrival, before it is admitted
// and takes a slot.
type RunStart struct {
	At          time.Time
	Team        string
	Request     string
	Idempotency string
	// Attempt is the caller's id of the attempt, empty if it sent none.
	Attempt string
}

// Options describe the backend server.
type Options struct {
	Endpoint        string
	Service         string
	Listen          string
	NodeURL         string
	Slots           int
	ConnectionLimit int
	ServiceTime     time.Duration
	ColdStart       time.Duration
	// ReportedLoadFactor multiplies the load that it reports; 0 and 1 report the true load.
	ReportedLoadFactor float64
	Calls              []Nested
	Seed               uint64
	// Call replaces the way in which nested calls are made; nil makes them through the node.
	Call func(r *http.Request, n Nested) (text string, status int)
	// Admit decides before a call takes a slot whether to admit it; release is called after the call. Nil admits all.
	Admit func() (release func(), ok bool)
	// IgnoreCancel makes the backend server continue to work on calls whose caller has cancelled.
	IgnoreCancel bool
}

// Server is a running stand-in.
type Server struct {
	options  Options
	slots    chan struct{}
	started  time.Time
	listener net.Listener
	server   *http.Server
	client   *http.Client

	// serviceTime, failEvery and loadOverride can be changed while it runs; a negative loadOverride reports the true
	// load.
	serviceTime  atomic.Int64
	failEvery    atomic.Int64
	loadOverride atomic.Int64
	inUse        atomic.Int64
	served       atomic.Int64
	arrived      atomic.Int64
	sawKey       atomic.Bool

	mu     sync.Mutex
	runs   map[string]int
	starts []RunStart
	rnd    *rand.Rand

	announcement *announcer.Announcement
}

// Start listens and announces the backend server to its node.
func Start(ctx context.Context, o Options) (*Server, error) {
	s, err := Listen(o)
	if err != nil {
		return nil, err
	}
	if err := s.Announce(ctx); err != nil {
		s.Crash()
		return nil, err
	}
	return s, nil
}

// Listen serves without announcing anything.
func Listen(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", o.Endpoint, err)
	}
	s := &Server{
		options:  o,
		slots:    make(chan struct{}, o.Slots),
		started:  time.Now(),
		listener: l,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Slots}},
		runs:     make(map[string]int),
		rnd:      rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
	}
	s.serviceTime.Store(int64(o.ServiceTime))
	s.loadOverride.Store(-1)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Announce announces the backend server to its node.
func (s *Server) Announce(ctx context.Context) error {
	a, err := announcer.Announce(ctx, s.options.NodeURL, announcer.Backend{
		Endpoint:        s.options.Endpoint,
		Service:         s.options.Service,
		Address:         s.Address(),
		Slots:           s.options.Slots,
		ConnectionLimit: s.options.ConnectionLimit,
		ColdStart:       s.options.ColdStart,
	}, s.load)
	if err != nil {
		return err
	}
	s.announcement = a
	return nil
}

// Address returns the address on which it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Leave drains the backend server and stops it.
func (s *Server) Leave(ctx context.Context) error {
	err := s.announcement.Leave(ctx)
	_ = s.server.Shutdown(ctx)
	return err
}

// Drain announces the leave but keeps listening, so that calls which still arrive are recorded.
func (s *Server) Drain(ctx context.Context) error { return s.announcement.Leave(ctx) }

// Crash stops it at once: running calls are broken off, and the node is not notified.
func (s *Server) Crash() {
	if s.announcement != nil {
		s.announcement.Stop()
	}
	_ = s.server.Close()
}

// SetServiceTime changes the mean time that a call takes.
func (s *Server) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// FailEvery makes every nth call end with a 500; zero stops that.
func (s *Server) FailEvery(n int64) { s.failEvery.Store(n) }

// SetReportedLoad sets the load that it reports, in thousandths; a negative number restores the true load.
func (s *Server) SetReportedLoad(perMille int64) { s.loadOverride.Store(perMille) }

// Served returns how many calls were served to completion, including those that FailEvery makes fail.
func (s *Server) Served() int64 { return s.served.Load() }

// Arrived returns how many calls reached it, whatever their outcome.
func (s *Server) Arrived() int64 { return s.arrived.Load() }

// SawKey reports whether any call carried a team's key.
func (s *Server) SawKey() bool { return s.sawKey.Load() }

// Runs returns how often each idempotency id reached it.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Starts returns all calls that reached it, in order of arrival.
func (s *Server) Starts() []RunStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RunStart(nil), s.starts...)
}

// StopHeartbeats ends its heartbeats while it keeps listening, as a hanging machine does.
func (s *Server) StopHeartbeats() { s.announcement.Stop() }

// InUse returns how many slots are in use.
func (s *Server) InUse() int64 { return s.inUse.Load() }

func (s *Server) load() float64 {
	if override := s.loadOverride.Load(); override >= 0 {
		return float64(override) / 1000
	}
	load := float64(s.inUse.Load()) / float64(s.options.Slots)
	if f := s.options.ReportedLoadFactor; f > 0 {
		return load * f
	}
	return load
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	s.recordStart(r)
	w.Header().Set(CallHeader, r.Header.Get(CallHeader))
	if s.options.IgnoreCancel {
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	if s.options.Admit != nil {
		release, ok := s.options.Admit()
		if !ok {
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
			return
		}
		defer release()
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !s.takeSlot(r.Context()) {
		return
	}
	defer s.freeSlot()
	if !clock.Sleep(r.Context(), s.drawServiceTime()) {
		return
	}
	texts, status := s.callNested(r)
	if status >= http.StatusMultipleChoices {
		http.Error(w, "nested call failed", status)
		return
	}
	n := s.served.Add(1)
	if f := s.failEvery.Load(); f > 0 && n%f == 0 {
		http.Error(w, "failed on purpose", http.StatusInternalServerError)
		return
	}
	s.answer(w, r, size, texts)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, size int64, texts []string) {
	if n, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
		s.stream(w, n)
		return
	}
	fmt.Fprintf(w, "%s %s %s got %d bytes for %s", s.options.Service, r.Method, r.URL.Path, size, r.Header.Get(requestIDHeader))
	for _, t := range texts {
		fmt.Fprintf(w, " [%s]", t)
	}
}

func (s *Server) stream(w http.ResponseWriter, n int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	_, _ = io.CopyN(w, zeros{}, n)
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// recordStart records a call and whether it carried a team's key; every key starts with "jt_".
func (s *Server) recordStart(r *http.Request) {
	if r.Header.Get("Authorization") != "" || strings.Contains(r.URL.RawQuery, "jt_") {
		s.sawKey.Store(true)
	}
	id := r.Header.Get(IdempotencyHeader)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, RunStart{
		At:          time.Now(),
		Team:        r.Header.Get(teamHeader),
		Request:     r.Header.Get(requestIDHeader),
		Idempotency: id,
		Attempt:     r.Header.Get(AttemptHeader),
	})
	if id != "" {
		s.runs[id]++
	}
}

func (s *Server) takeSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		s.inUse.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) freeSlot() {
	s.inUse.Add(-1)
	<-s.slots
}

// drawServiceTime varies the service time by a quarter around its mean; a cold backend server starts at three times the
// mean and approaches it linearly over ColdStart.
func (s *Server) drawServiceTime() time.Duration {
	s.mu.Lock()
	f := 0.75 + s.rnd.Float64()/2
	s.mu.Unlock()
	if age := time.Since(s.started); age < s.options.ColdStart {
		f *= 3 - 2*float64(age)/float64(s.options.ColdStart)
	}
	return time.Duration(f * float64(s.serviceTime.Load()))
}

func (s *Server) callNested(r *http.Request) ([]string, int) {
	var texts []string
	call := s.callOne
	if s.options.Call != nil {
		call = s.options.Call
	}
	for _, n := range s.options.Calls {
		text, status := call(r, n)
		if status >= http.StatusMultipleChoices {
			return nil, status
		}
		texts = append(texts, text)
	}
	return texts, http.StatusOK
}

func (s *Server) callOne(r *http.Request, n Nested) (string, int) {
	target := s.options.NodeURL + "/" + n.Service + n.Path
	req, err := http.NewRequestWithContext(r.Context(), n.Method, target, http.NoBody)
	if err != nil {
		return "", http.StatusInternalServerError
	}
	req.Header.Set(CallHeader, r.Header.Get(CallHeader))
	resp, err := s.client.Do(req)
	if err != nil {
		return "", http.StatusBadGateway
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", http.StatusBadGateway
	}
	return string(text), resp.StatusCode
}
