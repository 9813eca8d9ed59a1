package soaker

// Callers reuse their connections and send at a constant rate whatever the outcome of the requests: a caller that
// waited for answers would send less while the fleet is failing. With Options.Returns a caller that is refused and told when
// to return does so once, with a new request; each request is checked by itself.
//
// Example: an order without an answer is recorded with status 0, and may have run once.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	host = "soak.example"
	// requestInterval is the time between two requests of one caller in a fleet of up to fullRateNodes nodes; in a larger
	// one it is longer, so that the processes of one machine can carry the load. callersPerNode is the number of callers at
	// each node.
	requestInterval = 25 * time.Millisecond
	fullRateNodes   = 12
	callersPerNode  = 3
	callTimeout     = 2 * time.Second
	// maxReturnSeconds is the longest time that a refused caller waits to return. returnSuffix ends the id of its new
	// request; it has no dot, which would mark a nested call.
	maxReturnSeconds = 10
	returnSuffix     = "-again"
	// greedyRate is the rate of the team that sends several times its rate.
	greedyRate  = 20
	greedyBurst = 20
)

var routes = []standin.Route{
	{Name: "read", Host: host, Prefix: "/read/", Service: services[0], Kind: "idempotent", TimeoutMs: 1500},
	{Name: "browse", Host: host, Prefix: "/browse/", Service: services[0], Kind: "idempotent", TimeoutMs: 1500, Priority: 3},
	{Name: "order", Host: host, Prefix: "/order/", Service: orderService, Kind: "non_idempotent", TimeoutMs: 1500},
	{Name: "look", Host: host, Prefix: "/look/", Service: services[2], Kind: "idempotent", TimeoutMs: 800},
	{Name: "inner", Host: host, Prefix: "/inner/", Service: services[2], Kind: "idempotent", TimeoutMs: 800, Public: true},
}

// teams holds the keys in force; the keys of team "roaming" are replaced while its callers send.
type teams struct {
	mu          sync.Mutex
	version     int64
	roamingKeys []string
	// withdrawn holds the withdrawn keys, which callers still use at times.
	withdrawn   []string
	extraRoutes int
	operated    operatedConfiguration
}

const (
	steadyKey = "steady"
	greedyKey = "greedy"
)

// publish writes the current configuration to the store.
func (t *teams) publish(s *standin.Store, record *Record) {
	t.version += 1 + int64(rand.IntN(3))
	all := append([]standin.Route(nil), routes...)
	for i := range t.extraRoutes {
		all = append(all, standin.Route{
			Name: fmt.Sprintf("extra-%d", i), Host: host, Prefix: fmt.Sprintf("/extra%d/", i), Service: services[2],
			Kind: "idempotent", TimeoutMs: 800,
		})
	}
	all = append(all, t.operated.routes()...)
	c := standin.Configuration{Version: t.version, Routes: all, Teams: []standin.Team{
		{Name: "steady", Keys: []string{steadyKey}},
		{Name: "greedy", Keys: []string{greedyKey}, Rate: greedyRate, Burst: greedyBurst},
		{Name: "roaming", Keys: t.roamingKeys},
		{Name: probingTeam, Keys: append([]string{probingKey}, t.operated.keys...)},
	}}
	record.BeginVersion(c)
	c.Publish(s)
	record.EndVersion()
}

// rotateKey issues a key and withdraws the oldest if there are more than two, so that callers have time to change keys.
func (t *teams) rotateKey(s *standin.Store, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := fmt.Sprintf("roaming-%d", len(t.withdrawn)+len(t.roamingKeys))
	r.AddKey(key, "roaming", 0, 0)
	t.roamingKeys = append(t.roamingKeys, key)
	var oldKey string
	if len(t.roamingKeys) > 2 {
		oldKey, t.roamingKeys = t.roamingKeys[0], t.roamingKeys[1:]
	}
	t.publish(s, r)
	if oldKey != "" {
		r.AddWithdrawal(oldKey, time.Now())
		t.withdrawn = append(t.withdrawn, oldKey)
	}
}

func (t *teams) addRoute(s *standin.Store, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extraRoutes++
	t.publish(s, r)
}

// pickKey returns a random team and one of its keys, at times a withdrawn one.
func (t *teams) pickKey(random *rand.Rand) (team, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch n := random.IntN(10); {
	case n < 3:
		return "greedy", greedyKey
	case n < 5 && len(t.roamingKeys) > 0:
		return "roaming", t.roamingKeys[len(t.roamingKeys)-1]
	case n == 5 && len(t.withdrawn) > 0:
		return "roaming", t.withdrawn[len(t.withdrawn)-1]
	default:
		return "steady", steadyKey
	}
}

// interval returns a time between two requests, longer in a large fleet.
func (f *fleet) interval(i time.Duration) time.Duration {
	return i * time.Duration(max(fullRateNodes, f.options.Nodes)) / fullRateNodes
}

// drawer returns a random request with a key, the key's team, and whether the request may run again.
type drawer func(random *rand.Rand, address, id string) (q standin.Request, team string, idempotent bool)

// runCaller runs one caller at a node until the context ends.
func (f *fleet) runCaller(ctx context.Context, n *node, caller int, interval time.Duration, random *rand.Rand, draw drawer) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callersPerNode, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var pending sync.WaitGroup
	defer pending.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q, team, idempotent := draw(random, n.callers.Address(), fmt.Sprintf("%s-%d-%d", n.name, caller, i))
		pending.Add(1)
		go func() {
			defer pending.Done()
			f.sendAndReturn(ctx, client, n.name, q, team, idempotent)
		}()
	}
}

// drawRequest returns a random request with one of the keys.
func (f *fleet) drawRequest(random *rand.Rand, address, id string) (q standin.Request, team string, idempotent bool) {
	team, key := f.teams.pickKey(random)
	q = standin.Request{Address: address, Host: host, ID: id, Key: key, Timeout: callTimeout}
	idempotent = true
	switch random.IntN(4) {
	case 0:
		q.Path = "/read/x"
	case 1:
		q.Path = "/browse/x"
	case 2:
		q.Path, q.Body, idempotent = "/order/x", "order "+q.ID, false
	default:
		q.Path = "/look/x"
	}
	return q, team, idempotent
}

// sendAndReturn sends a request and, if callers return and it is refused with a time to return, a new request at that time,
// unless the context has ended by then.
func (f *fleet) sendAndReturn(ctx context.Context, client *http.Client, node string, q standin.Request, team string, idempotent bool) {
	answer := f.send(client, node, q, team, idempotent)
	seconds, err := strconv.ParseFloat(answer.RetryAfter, 64)
	if !f.options.Returns || !answer.NotRun() || err != nil || seconds < 0 || seconds > maxReturnSeconds {
		return
	}
	wait(ctx, time.Duration(seconds*float64(time.Second)))
	if ctx.Err() != nil {
		return
	}
	q.ID += returnSuffix
	if q.Body != "" {
		q.Body += returnSuffix
	}
	f.send(client, node, q, team, idempotent)
}

func (f *fleet) send(client *http.Client, node string, q standin.Request, team string, idempotent bool) standin.Answer {
	limited, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	s := Sent{ID: q.ID, Node: node, Path: q.Path, Body: q.Body, Team: team, Key: q.Key, Idempotent: idempotent, At: time.Now()}
	s.Answer = standin.Call(limited, client, q)
	s.Answered = time.Now()
	f.record.AddRequest(s)
	return s.Answer
}
