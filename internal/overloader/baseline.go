// The baselines are what a deployment without this product may have: services call each other directly, each hop
// retries, and each backend server has a simple concurrency limit or none.
//
// Example: with the baseline "noControl" every call waits for a slot and runs even if its caller has disconnected.

package overloader

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/responder"
)

// protection is how a baseline's backend servers limit their load, and how often its hops retry.
type protection struct {
	name string
	// retries is how many attempts a hop makes after the first one.
	retries int
	// ignoreCancel makes backend servers continue calls whose callers have disconnected.
	ignoreCancel bool
	// admit returns the admission function for a backend server with that many slots; nil admits all calls.
	admit func(slots int) func() (func(), bool)
}

var protections = []protection{
	{name: "noControl", retries: 3, ignoreCancel: true},
	{name: "fixedLimit", retries: 1, admit: fixedLimit},
	{name: "adaptiveLimit", retries: 1, admit: adaptiveLimit},
}

// fixedLimit admits as many calls as there are slots, and four times as many that wait for a slot in order of arrival.
func fixedLimit(slots int) func() (func(), bool) {
	const queueFactor = 4
	var inFlight atomic.Int64
	limit := int64(slots * (1 + queueFactor))
	return func() (func(), bool) {
		if inFlight.Add(1) > limit {
			inFlight.Add(-1)
			return nil, false
		}
		return func() { inFlight.Add(-1) }, true
	}
}

// adaptiveLimit multiplies its concurrency limit by 0.98 for each call whose latency is above twice the lowest one,
// and raises it by 1/limit for each other call, which is about one in each round of calls. The lowest latency ages by
// 0.05% a call.
func adaptiveLimit(slots int) func() (func(), bool) {
	l := &latencyLimit{limit: float64(slots), minLatency: math.MaxFloat64}
	return l.admit
}

type latencyLimit struct {
	mu         sync.Mutex
	limit      float64
	minLatency float64
	inFlight   int
}

func (l *latencyLimit) admit() (func(), bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(l.inFlight) >= l.limit {
		return nil, false
	}
	l.inFlight++
	began := time.Now()
	return func() { l.finish(time.Since(began).Seconds()) }, true
}

func (l *latencyLimit) finish(latency float64) {
	const tolerance, decrease = 2, 0.98
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.minLatency = min(l.minLatency*1.0005, latency)
	if latency > tolerance*l.minLatency {
		l.limit = max(1, l.limit*decrease)
		return
	}
	l.limit += 1 / l.limit
}

// baseline is a running deployment without this product, whose backend servers call each other directly.
type baseline struct {
	shape      shape
	protection protection
	client     *http.Client
	seed       uint64

	mu            sync.Mutex
	servers       map[string][]*responder.Server
	firstAttempts atomic.Int64
	attempts      atomic.Int64
}

func newBaseline(s shape, p protection, seed uint64) (system, error) {
	m := &baseline{shape: s, protection: p, client: newClient(), seed: seed, servers: make(map[string][]*responder.Server)}
	for _, v := range s.plan.Services {
		for range v.Endpoints {
			server, err := m.listen(v.Name, v.Slots, v.ServiceTime, 0, v.Calls)
			if err != nil {
				m.close()
				return nil, err
			}
			m.servers[v.Name] = append(m.servers[v.Name], server)
		}
	}
	return m, nil
}

func (m *baseline) listen(service string, slots int, serviceTime, cold time.Duration, calls []responder.Nested) (*responder.Server, error) {
	o := responder.Options{
		Endpoint:     service,
		Service:      service,
		Listen:       "127.0.0.1:0",
		Slots:        slots,
		ServiceTime:  serviceTime,
		ColdStart:    cold,
		Calls:        calls,
		Call:         m.callNested,
		IgnoreCancel: m.protection.ignoreCancel,
		Seed:         m.seed,
	}
	if m.protection.admit != nil {
		o.Admit = m.protection.admit(slots)
	}
	return responder.Listen(o)
}

func (m *baseline) callNested(r *http.Request, n responder.Nested) (string, int) {
	return m.callWithRetries(r.Context(), n.Service, n.Method, "/"+n.Service+n.Path, "")
}

// callWithRetries makes one call with the retries of a hop; it stops when the parent context has ended.
func (m *baseline) callWithRetries(parent context.Context, service, method, path, id string) (string, int) {
	m.firstAttempts.Add(1)
	status := 0
	for range m.protection.retries + 1 {
		m.attempts.Add(1)
		ctx, cancel := context.WithTimeout(parent, attemptTimeout)
		text, s := m.attemptOnce(ctx, service, method, path, id)
		cancel()
		status = s
		if s == http.StatusOK {
			return text, s
		}
		if parent.Err() != nil {
			break
		}
	}
	if status == 0 {
		status = http.StatusBadGateway
	}
	return "", status
}

func (m *baseline) attemptOnce(ctx context.Context, service, method, path, id string) (string, int) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.randomServer(service).Address()+path, http.NoBody)
	if err != nil {
		return "", 0
	}
	if id != "" {
		req.Header.Set(responder.IdempotencyHeader, id)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return "", 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", 0
	}
	return string(text), resp.StatusCode
}

func (m *baseline) randomServer(service string) *responder.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.servers[service]
	return list[rand.IntN(len(list))]
}

func (m *baseline) send(ctx context.Context, a arrival, _ int) reply {
	k := m.shape.kinds[a.kind]
	id := ""
	if k.withID {
		id = uuidFor(a)
	}
	_, status := m.callWithRetries(ctx, serviceOf(k.path), k.method, k.path, id)
	return reply{status: status}
}

func serviceOf(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return path[1:]
}

func (m *baseline) deepServers() []*responder.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]*responder.Server(nil), m.servers[m.shape.deepService]...)
}

// restart removes each endpoint from the list before it stops, as a careful operator would do by hand.
func (m *baseline) restart(context.Context) {
	for i, old := range m.deepServers() {
		m.mu.Lock()
		list := append([]*responder.Server(nil), m.servers[m.shape.deepService]...)
		m.servers[m.shape.deepService] = append(list[:i:i], list[i+1:]...)
		m.mu.Unlock()
		time.Sleep(restartPause)
		old.Crash()
		replacement, err := m.listen(m.shape.deepService, deepSlots, deepServiceTime, coldStart, nil)
		if err != nil {
			return
		}
		m.mu.Lock()
		m.servers[m.shape.deepService] = append(list[:i:i], append([]*responder.Server{replacement}, list[i+1:]...)...)
		m.mu.Unlock()
		time.Sleep(coldStart)
	}
}

func (m *baseline) attemptsPerRequest() float64 {
	if m.firstAttempts.Load() == 0 {
		return 1
	}
	return float64(m.attempts.Load()) / float64(m.firstAttempts.Load())
}

func (m *baseline) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, list := range m.servers {
		for _, s := range list {
			s.Crash()
		}
	}
	m.client.CloseIdleConnections()
}
