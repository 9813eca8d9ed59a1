package mesher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
	"github.com/jackdawtide/jackdawtide/internal/relayer"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

// memoryTopic is a keyed topic in memory; while it is unavailable it refuses all calls.
type memoryTopic struct {
	mu          sync.Mutex
	records     []watcher.Record
	unavailable bool
}

func (m *memoryTopic) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

func (m *memoryTopic) Newest(context.Context) (watcher.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return watcher.Batch{}, watcher.RefusedError{Status: 503}
	}
	return watcher.Batch{Records: append([]watcher.Record(nil), m.records...), End: identifier.Offset(len(m.records))}, nil
}

func (m *memoryTopic) Read(ctx context.Context, from identifier.Offset, wait clock.Duration) (watcher.Batch, error) {
	for end := time.Now().Add(wait.Std()); ; time.Sleep(2 * time.Millisecond) {
		m.mu.Lock()
		unavailable, length := m.unavailable, identifier.Offset(len(m.records))
		var got []watcher.Record
		if from < length {
			got = append(got, m.records[from:]...)
		}
		m.mu.Unlock()
		if unavailable {
			return watcher.Batch{}, watcher.RefusedError{Status: 503}
		}
		if len(got) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return watcher.Batch{Records: got, End: length}, ctx.Err()
		}
	}
}

func (m *memoryTopic) Write(_ context.Context, key string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return watcher.RefusedError{Status: 503}
	}
	m.records = append(m.records, watcher.Record{Key: key, Value: value, Offset: identifier.Offset(len(m.records))})
	return nil
}

const (
	// firstPort and portCount bound the ports of nodes. The range lies below the ephemeral ports: an outgoing connection could
	// otherwise take a port before its node listens on it.
	firstPort = 15000
	portCount = 15000
	// portsPerProcess spreads the processes of concurrent test runs over the range.
	portsPerProcess = 499
)

var nextPort atomic.Int64

// freeAddress returns an address on which nothing listens, each one once.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for range portCount {
		port := int64(os.Getpid()*portsPerProcess) + nextPort.Add(1)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+port%portCount))
		if err != nil {
			continue
		}
		defer l.Close()
		return netip.MustParseAddrPort(l.Addr().String())
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}

// fleet holds what the nodes of a test share: the topics of a simulated store, and the work of their endpoints.
type fleet struct {
	operators, members memoryTopic
	// work, if set, is called for each request that reaches an endpoint.
	work func(r *http.Request)
	// watch, if set, reloads the nodes' settings.
	watch func(ctx context.Context, apply func(loader.Sidecar), reject func(error))
	// log, if set, gets the nodes' log lines.
	log io.Writer
}

// largeAnswerBytes is the size of the answers to requests for a path that ends with /large, more than the system's buffers hold.
const largeAnswerBytes = 24 << 20

type runningNode struct {
	settings loader.Sidecar
	stop     context.CancelFunc
	done     chan error
	accept   func(registrar.Announcement) error
	sequence int64
}

func (f *fleet) start(t *testing.T, name string, service identifier.Service) *runningNode {
	t.Helper()
	return f.startIn(t, name, service, "west")
}

func (f *fleet) startIn(
	t *testing.T,
	name string,
	service identifier.Service,
	domain identifier.FailureDomain,
) *runningNode {
	t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if f.work != nil {
			f.work(r)
		}
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		if strings.HasSuffix(r.URL.Path, "/large") {
			_, _ = rw.Write(make([]byte, largeAnswerBytes))
			return
		}
		_, _ = io.WriteString(rw, name)
	}))
	t.Cleanup(endpoint.Close)
	n := &runningNode{done: make(chan error, 1), settings: loader.Sidecar{
		Name: identifier.Node(name), Domain: domain, Service: service,
		Endpoint: netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://")),
		Listen: loader.SidecarListen{
			Outbound: freeAddress(t), Inbound: freeAddress(t), Readiness: freeAddress(t),
			Announcements: freeAddress(t), Peer: freeAddress(t), Metrics: freeAddress(t),
		},
		MemoryMB: 256, Descriptors: 128,
		Bounds: loader.SidecarBounds{
			Revoke: clock.Second, ConfigurationInForce: clock.Second, Drain: clock.Second, Grace: 6 * clock.Second,
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * clock.Second,
		},
	}}
	accepted := make(chan func(registrar.Announcement) error, 1)
	outside := Platform{
		Headers: relayer.Headers{
			RequestID: "X-Id", TimeLeft: "X-Left", Key: "X-Key", Team: "X-Team", Origin: "X-Origin",
			Target: "X-Target", NotRun: "X-Not-Run", Signature: "X-Signature",
		},
		Operators: &f.operators, Members: &f.members, ConfigurationKey: "rules",
		Decode: func(data []byte) (matcher.Configuration, error) {
			var version identifier.Version
			if _, err := fmt.Sscanf(string(data), "version %d", &version); err != nil {
				return matcher.Configuration{}, err
			}
			return matcher.Configuration{
				Version: version,
				Routes: []matcher.Route{{
					Name: "r", Host: "h", Prefix: "/", Parts: []matcher.Part{{Service: "portal", Weight: 1}},
					Kind: matcher.Idempotent, Timeout: clock.Second, Objective: 500, Attempts: 2,
				}, {
					Name: "long", Host: "h", Prefix: "/long/", Parts: []matcher.Part{{Service: "portal", Weight: 1}},
					Kind: matcher.Idempotent, Timeout: 10 * clock.Second, Objective: 500, Attempts: 2,
				}},
				Services: []matcher.Service{{Name: "portal"}},
				Teams:    []matcher.Team{{Name: "parish", Keys: []string{"k"}}},
			}, nil
		},
		EvacuatedDomain: func(key string) (identifier.FailureDomain, bool) {
			domain, ok := strings.CutPrefix(key, "evacuate ")
			return identifier.FailureDomain(domain), ok
		},
		Announcements: func(accept func(registrar.Announcement) error, _ func(identifier.Endpoint), _ func(error)) http.Handler {
			accepted <- accept
			return http.NotFoundHandler()
		},
	}
	out := io.Discard
	if f.log != nil {
		out = f.log
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		n.done <- Run(ctx, Options{Settings: n.settings, Platform: outside, Out: out, WatchSettings: f.watch})
	}()
	n.accept = <-accepted
	assert.NilError(t, n.announce(false))
	t.Cleanup(func() {
		cancel()
		<-n.done
	})
	return n
}

func (n *runningNode) announce(leaving bool) error {
	n.sequence++
	return n.accept(registrar.Announcement{
		Endpoint: identifier.Endpoint("i-" + n.settings.Name), Service: n.settings.Service,
		Address: n.settings.Endpoint.String(), Slots: 10, Started: 1, Sequence: n.sequence, Leaving: leaving,
	})
}

func (n *runningNode) get(address netip.AddrPort, path string) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("X-Id", fmt.Sprint(time.Now().UnixNano()))
	r.Header.Set("X-Key", "k")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func (n *runningNode) request() (status int, text string) {
	return n.get(n.settings.Listen.Outbound, "/x")
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not reached after 400 checks, 10 ms apart: %s", what)
}

// firstAnswer repeats a request until it is answered, since a node opens its listeners only after start has returned.
func firstAnswer(t *testing.T, ask func() (int, string)) (status int, text string) {
	t.Helper()
	eventually(t, "answered", func() bool { status, text = ask(); return status != 0 })
	return status, text
}

func TestNodesFindEachOther(t *testing.T) {
	f := &fleet{}
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	status, text := firstAnswer(t, func() (int, string) { return entry.get(entry.settings.Listen.Readiness, "/ready") })
	assert.Equal(t, status, 503, text)
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	eventually(t, "ready", func() bool {
		status, _ := entry.get(entry.settings.Listen.Readiness, "/ready")
		return status == 200
	})
	eventually(t, "served", func() bool {
		status, text := entry.request()
		return status == 200 && text == "beside"
	})
	status, text = entry.get(entry.settings.Listen.Peer, "/state")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.Contains(text, `"beside"`) && !strings.Contains(text, `"k"`))
}

// During an outage of the store no node can know whether a key was withdrawn. Keyed requests must be refused when the last
// proof has expired, and served again as soon as there is a new one.
func TestStoreOutage(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	served := func() bool { status, _ := entry.request(); return status == 200 }
	eventually(t, "served", served)
	f.operators.setUnavailable(true)
	eventually(t, "refused", func() bool {
		status, text := entry.request()
		return status == 503 && strings.HasPrefix(text, "staleKeys")
	})
	f.operators.setUnavailable(false)
	eventually(t, "served again", served)
}

// An invalid configuration is published. The old one must stay in force, and the next valid one must replace it.
func TestInvalidConfigurationIsIgnored(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("nonsense")))
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 2")))
	eventually(t, "version 2", func() bool {
		_, text := entry.get(entry.settings.Listen.Peer, "/state")
		return strings.Contains(text, `"version":2`)
	})
}

// A node performs a planned stop while an entry node goes on sending requests to its service: none of them may be lost.
func TestPlannedStopLosesNoRequests(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	leaver := f.start(t, "leaver", "portal")
	f.start(t, "stayer", "portal")
	eventually(t, "both are used", func() bool { _, text := entry.request(); return text == "leaver" })
	eventually(t, "both are used", func() bool { _, text := entry.request(); return text == "stayer" })
	leaver.stop()
	for range 180 {
		status, text := entry.request()
		assert.Equal(t, status, 200, text)
		time.Sleep(10 * time.Millisecond)
	}
	_, text := entry.request()
	assert.Equal(t, text, "stayer")
}

// All nodes start during an outage of the store. When the store is available again, they must serve without an operator's
// intervention.
func TestStartWithoutTheStore(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	f.operators.setUnavailable(true)
	f.members.setUnavailable(true)
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	status, text := firstAnswer(t, entry.request)
	assert.Equal(t, status, 503, text)
	f.operators.setUnavailable(false)
	f.members.setUnavailable(false)
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
}

// Refused callers retry on new connections and keep the old ones open. A node that kept all of them would run out of file
// descriptors: it could accept no connection, and requests would remain unread for seconds.
func TestManyCallersDoNotExhaustDescriptors(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	kept := 0
	for range 200 {
		n, err := net.Dial("tcp", entry.settings.Listen.Outbound.String())
		assert.NilError(t, err)
		defer n.Close()
		_, err = io.WriteString(n, "GET /x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(n), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		_, _ = io.Copy(io.Discard, response.Body)
		if !response.Close {
			kept++
		}
	}
	assert.Assert(t, kept > 10 && kept <= 64, "%d of 200 connections kept", kept)
}

// A caller pipelines three idempotent requests on one connection and disconnects while they are in flight, two nodes
// away from the endpoint. The endpoint must be cancelled, or it goes on with work of no use.
func TestPipeliningCallerDisconnects(t *testing.T) {
	var running, begun atomic.Int64
	f := &fleet{work: func(r *http.Request) {
		if r.URL.Path != "/slow" {
			return
		}
		begun.Add(1)
		running.Add(1)
		defer running.Add(-1)
		select {
		case <-r.Context().Done():
		case <-time.After(900 * time.Millisecond):
		}
	}}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	entry := f.start(t, "entry", "desk")
	f.start(t, "beside", "portal")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	n, err := net.Dial("tcp", entry.settings.Listen.Outbound.String())
	assert.NilError(t, err)
	for i := range 3 {
		_, err = fmt.Fprintf(n, "GET /slow HTTP/1.1\r\nHost: h\r\nX-Id: a%d\r\nX-Key: k\r\n\r\n", i)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	eventually(t, "three requests running", func() bool { return running.Load() == 3 })
	assert.NilError(t, n.Close())
	left := time.Now()
	eventually(t, "all cancelled", func() bool { return running.Load() == 0 })
	took := time.Since(left)
	assert.Assert(t, took < 500*time.Millisecond, "took %v", took)
	assert.Equal(t, begun.Load(), int64(3))
}

// An endpoint announces that it is leaving. This must be recorded in the store before it is acknowledged: the node may be
// killed at any time after that, and restarts from the record in the store.
func TestLeavingIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	f := &fleet{}
	n := f.start(t, "beside", "portal")
	record := func() exchanger.Member {
		b, err := f.members.Newest(context.Background())
		assert.NilError(t, err)
		if len(b.Records) == 0 {
			return exchanger.Member{}
		}
		m, err := exchanger.DecodeMember(b.Records[len(b.Records)-1].Value)
		assert.NilError(t, err)
		return m
	}
	eventually(t, "recorded", func() bool { return record().State == exchanger.Ready })
	assert.NilError(t, n.announce(true))
	assert.Equal(t, record().State, exchanger.Leaving)
}
