package launcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/presetter"
	"github.com/jackdawtide/jackdawtide/internal/responder"
	"github.com/jackdawtide/jackdawtide/pkg/announcer"
)

// testFleet is a small fleet with the state of its test callers and the collected output.
type testFleet struct {
	t     *testing.T
	fleet *Fleet
	logs  *lockedBuffer
	// output collects all answers to callers and all output of the admin endpoints and the log.
	output bytes.Buffer
	// finishedToken is the token of a finished call.
	finishedToken string
	requests      []string
	ids           map[string]string
	nextEntry     int
	stopFlood     func()
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func testPlan(t *testing.T) Plan {
	t.Helper()
	text, err := os.ReadFile("testdata/test.toml")
	assert.NilError(t, err)
	p, err := presetter.Parse(text)
	assert.NilError(t, err)
	return Plan{
		Deployment: "test", Domains: []string{"north", "south"}, Presets: []definer.Preset{p},
		Services: []Service{
			{Name: "board", Endpoints: 1, Slots: 4, Connections: 40, ServiceTime: time.Millisecond, Calls: []responder.Nested{
				{Service: "ice", Method: "GET", Path: "/bulletins"},
			}},
			{Name: "ice", Endpoints: 1, Slots: 4, Connections: 40, ServiceTime: time.Millisecond},
			{Name: "uploads", Endpoints: 1, Slots: 4, Connections: 40},
		},
	}
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	s := &testFleet{t: t, logs: &lockedBuffer{}, ids: map[string]string{}}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var err error
	s.fleet, err = Start(ctx, Options{Plan: testPlan(t), Logs: s.logs, Debug: true})
	assert.NilError(t, err)
	t.Cleanup(s.fleet.Close)
	s.fleet.Keys["another"], err = s.fleet.Issue(ctx, "captains")
	assert.NilError(t, err)
	s.announceTruncatingBackend(ctx)
	// Wait until the owners of idempotency ids have taken over, since older ids have an unknown outcome, and until gossip
	// has spread the new backend server.
	time.Sleep(2 * time.Second)
	return s
}

// announceTruncatingBackend adds a backend server that truncates its answers, at the node of service ice.
func (s *testFleet) announceTruncatingBackend(ctx context.Context) {
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.finishedToken = r.Header.Get(responder.CallHeader)
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		switch r.URL.Path {
		case "/length":
			fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly this")
		case "/chunked":
			fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nonly this\r\n")
		case "/whole":
			fmt.Fprint(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nonly this")
		}
	}))
	s.t.Cleanup(b.Close)
	m := s.member("ice")
	a, err := announcer.Announce(ctx, m.LocalURL(), announcer.Backend{
		Endpoint: "broken-1", Service: "broken", Address: b.Listener.Addr().String(), Slots: 4, ConnectionLimit: 40,
	}, func() float64 { return 0 })
	assert.NilError(s.t, err)
	s.t.Cleanup(a.Stop)
}

func (s *testFleet) member(service string) *Member {
	if service == "broken" {
		service = "ice"
	}
	i := slices.IndexFunc(s.fleet.Members, func(m *Member) bool { return m.Service.Name == service })
	return s.fleet.Members[i]
}

// flood sends far more load to a service than its capacity, until stopFlood is called.
func (s *testFleet) flood(service string) {
	b := s.member(service).Backend
	b.SetServiceTime(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range 60 {
		group.Go(func() {
			for ctx.Err() == nil {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.fleet.Members[0].CallerURL()+"/"+service+"/search", http.NoBody)
				if err != nil {
					return
				}
				req.Header.Set("Authorization", "Bearer "+s.fleet.Keys["captains"])
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	s.stopFlood = func() {
		cancel()
		group.Wait()
		b.SetServiceTime(time.Millisecond)
	}
}
