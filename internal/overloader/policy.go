// All policies implement one interface: send a request, change the service time of backend servers or restart them, and
// count attempts.

package overloader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/launcher"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

// system is a running deployment under one policy.
type system interface {
	send(ctx context.Context, a arrival, attempt int) reply
	// deepServers returns the backend servers of the deep service.
	deepServers() []*responder.Server
	// restart replaces the deep service's backend servers one after the other, each with a cold start.
	restart(ctx context.Context)
	// attemptsPerRequest returns the ratio of all attempts to first attempts, nested calls included.
	attemptsPerRequest() float64
	close()
}

// maxConnectionsPerServer bounds a client's connections to one backend server or node; without a bound, a baseline under
// immediate retries would exhaust the process's file descriptors and the measurement would fail.
const maxConnectionsPerServer = 700

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     maxConnectionsPerServer,
		MaxIdleConnsPerHost: maxConnectionsPerServer,
		IdleConnTimeout:     time.Minute,
	}}
}

// nodeFleet is the system of ProductPolicy: a fleet of real nodes in this process.
type nodeFleet struct {
	shape  shape
	fleet  *launcher.Fleet
	client *http.Client
}

func newNodeFleet(ctx context.Context, s shape, sc scenario, seed uint64) (system, error) {
	plan := s.plan
	plan.Presets = []definer.Preset{s.preset(sc)}
	f, err := launcher.Start(ctx, launcher.Options{Plan: plan, Seed: seed})
	if err != nil {
		return nil, err
	}
	// The token buckets start empty; wait until they have filled.
	time.Sleep(time.Second)
	return &nodeFleet{shape: s, fleet: f, client: newClient()}, nil
}

// preset returns the example preset with the teams' rates scaled down to the load of the measurement.
func (s shape) preset(sc scenario) definer.Preset {
	p := s.plan.Presets[0]
	p.Teams = append([]definer.Team(nil), p.Teams...)
	loads := s.teamLoads()
	for i := range p.Teams {
		p.Teams[i].Rate = identifier.Tokens(loads[i].rate * sc.rateFactor * float64(identifier.TokensPerCall))
		p.Teams[i].Burst = max(p.Teams[i].Rate, 8*identifier.TokensPerCall)
	}
	return p
}

func (c *nodeFleet) send(ctx context.Context, a arrival, attempt int) reply {
	m := c.fleet.Members[(a.seed+uint64(attempt))%uint64(len(c.fleet.Members))]
	req, err := newRequest(ctx, m.CallerURL(), c.shape.kinds[a.kind], a)
	if err != nil {
		return reply{}
	}
	req.Header.Set("Authorization", "Bearer "+c.fleet.Keys[a.team])
	return do(c.client, req)
}

func newRequest(ctx context.Context, base string, k requestKind, a arrival) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, base+k.path, http.NoBody)
	if err != nil {
		return nil, err
	}
	if k.withID {
		req.Header.Set(responder.IdempotencyHeader, uuidFor(a))
	}
	return req, nil
}

// uuidFor returns an idempotency id with the current time and the arrival's seed as its random part.
func uuidFor(a arrival) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(a.seed >> (8 * i))
	}
	u, err := uuid.NewV7FromReader(bytes.NewReader(append(b[:], b[:]...)))
	if err != nil {
		return uuid.NewString()
	}
	return u.String()
}

func do(client *http.Client, req *http.Request) reply {
	resp, err := client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	r := reply{status: resp.StatusCode}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p struct{ Reason string }
		if json.Unmarshal(body, &p) == nil {
			r.reason = p.Reason
		}
	}
	return r
}

func (c *nodeFleet) deepServers() []*responder.Server {
	var list []*responder.Server
	for _, m := range c.deepMembers() {
		list = append(list, m.Backend)
	}
	return list
}

func (c *nodeFleet) deepMembers() []*launcher.Member {
	var list []*launcher.Member
	for _, m := range c.fleet.Members {
		if m.Service.Name == c.shape.deepService {
			list = append(list, m)
		}
	}
	return list
}

const (
	coldStart    = 2 * time.Second
	restartPause = 500 * time.Millisecond
)

func (c *nodeFleet) restart(ctx context.Context) {
	for _, m := range c.deepMembers() {
		if err := m.Backend.Leave(ctx); err != nil {
			return
		}
		m.Service.ColdStart = coldStart
		if err := c.fleet.StartBackend(ctx, m); err != nil {
			return
		}
		time.Sleep(coldStart + restartPause)
	}
}

func (c *nodeFleet) attemptsPerRequest() float64 {
	var forwarded, retried float64
	for _, m := range c.fleet.Members {
		n := m.Node.Dump().Counters
		forwarded += float64(n.Forwarded)
		retried += float64(n.Retried)
	}
	if forwarded == retried {
		return 1
	}
	return forwarded / (forwarded - retried)
}

func (c *nodeFleet) close() {
	c.fleet.Close()
	c.client.CloseIdleConnections()
}
