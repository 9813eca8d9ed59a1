package relayer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

var names = Headers{
	RequestID: "X-Id", TimeLeft: "X-Left", Key: "X-Key", KeyScheme: "Key ", Team: "X-Team", Origin: "X-Origin",
	Target: "X-Target", NotRun: "X-Not-Run", Signature: "X-Signature", Limit: "X-Limit", Leaving: "X-Leaving",
}

// endpoint is a fake backend server that records the requests it receives.
type endpoint struct {
	*httptest.Server
	mu   sync.Mutex
	seen []*http.Request
	body []string
}

func newEndpoint(t testing.TB, respond func(w http.ResponseWriter, r *http.Request)) *endpoint {
	t.Helper()
	return newEndpointAt(t, func(*httptest.Server) {}, respond)
}

// newEndpointAt returns an endpoint whose server is changed before it starts.
func newEndpointAt(t testing.TB, change func(*httptest.Server), respond func(w http.ResponseWriter, r *http.Request)) *endpoint {
	t.Helper()
	e := &endpoint{}
	e.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.seen = append(e.seen, r.Clone(context.Background()))
		e.body = append(e.body, string(body))
		e.mu.Unlock()
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Signature, "signed")
		respond(w, r)
	}))
	change(e.Server)
	e.Start()
	t.Cleanup(e.Close)
	return e
}

// listen serves each connection to the returned address.
func listen(t testing.TB, serve func(n net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer n.Close()
				serve(n)
			}()
		}
	}()
	return l.Addr().String()
}

// last returns the request that reached the endpoint last, and its body.
func (e *endpoint) last() (*http.Request, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[len(e.seen)-1], e.body[len(e.body)-1]
}

func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen)
}

// node is a relayer with its conductor, in front of one endpoint.
type node struct {
	*Relayer
	outbound, inbound *httptest.Server
	member            exchanger.Member
}

func newNode(t testing.TB, name string, service identifier.Service, e *endpoint) *node {
	t.Helper()
	n := &node{}
	c := clock.New()
	address := strings.TrimPrefix(e.URL, "http://")
	n.inbound = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.ServeInbound(w, r) }))
	n.outbound = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.ServeOutbound(w, r) }))
	t.Cleanup(n.inbound.Close)
	t.Cleanup(n.outbound.Close)
	k := conductor.New(conductor.Options{
		Self: exchanger.Member{
			Node: identifier.Node(name), DeliveryAddress: strings.TrimPrefix(n.inbound.URL, "http://"), PeerAddress: "127.0.0.1:1",
			Domain: "west", Service: service, Incarnation: 1,
		},
		Bounds:          conductor.Bounds{RevokeWithin: 5 * clock.Second, ApplyWithin: 2 * clock.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * clock.Second},
		EndpointAddress: address,
		Random:          rand.New(rand.NewPCG(1, 2)),
	}, c.Now())
	n.Relayer = New(Options{
		Conductor: k, Clock: c, Headers: names, Service: service, EndpointAddress: address,
		Connections: requester.NewConnections(100),
		Publish:     func(m exchanger.Member) { n.member = m },
		Recorder:    recorder.New(io.Discard, name, c.Now),
	})
	n.announce(name, false)
	return n
}

func (n *node) announce(name string, leaving bool) {
	n.announceWithSequence(name, leaving, time.Now().UnixNano())
}

func (n *node) announceWithSequence(name string, leaving bool, sequence int64) {
	n.ApplyEvent(conductor.EndpointAnnounced{Announcement: registrar.Announcement{
		Endpoint: identifier.Endpoint("i-" + name), Service: n.options.Service, Address: n.options.EndpointAddress,
		Slots: 4, Started: 1, Sequence: sequence, Leaving: leaving,
	}})
}

func (n *node) configure(t testing.TB, c matcher.Configuration) {
	t.Helper()
	m, err := matcher.New(c)
	assert.NilError(t, err)
	n.ApplyEvent(conductor.ConfigurationRead{Matcher: m})
	n.ApplyEvent(conductor.ConfigurationProved{Version: c.Version, AsOf: clock.Boot{}.Now()})
}

func exchangeMembers(nodes ...*node) {
	for _, a := range nodes {
		for _, b := range nodes {
			a.ApplyEvent(conductor.MemberLearned{Member: b.member})
		}
	}
}

func configurationOf(kind matcher.Kind, attempts int) matcher.Configuration {
	return matcher.Configuration{
		Version: 3,
		Routes: []matcher.Route{
			{
				Name: "r", Host: "h.example", Prefix: "/obs/", Parts: []matcher.Part{{Service: "portal", Weight: 1}},
				Kind: kind, Timeout: clock.Second, Objective: 500, Attempts: attempts,
			},
			{
				Name: "public", Host: "h.example", Prefix: "/public/", Parts: []matcher.Part{{Service: "portal", Weight: 1}},
				Kind: kind, Timeout: clock.Second, Objective: 500, Attempts: attempts, Public: true,
			},
		},
		Services: []matcher.Service{{Name: "portal"}, {Name: "desk"}},
		Teams:    []matcher.Team{{Name: "parish", Keys: []string{"k"}}},
	}
}

type reply struct {
	*http.Response
	text string
}

func sendRequest(t *testing.T, n *node, change func(*http.Request)) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.outbound.URL+"/obs/1?q=2", nil)
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set(names.RequestID, fmt.Sprintf("req-%d", time.Now().UnixNano()))
	r.Header.Set(names.TimeLeft, "2000")
	r.Header.Set(names.Key, "Key k")
	if change != nil {
		change(r)
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return reply{Response: response, text: string(text)}
}

func learnMember(n *node, m exchanger.Member) {
	n.ApplyEvent(conductor.MemberLearned{Member: m})
}

func tickUntilDone(ctx context.Context, nodes ...*node) {
	for clock.Sleep(ctx, 20*time.Millisecond) {
		for _, n := range nodes {
			n.ApplyEvent(conductor.Ticked{})
		}
	}
}
