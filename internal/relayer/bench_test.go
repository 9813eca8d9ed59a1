package relayer

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// BenchmarkPath sends a request from a caller through two nodes to an endpoint and back, all in one process. It shows the
// allocations that reused copy buffers save: 24.7 kB a request instead of 40.6 kB with a new buffer for each answer.
func BenchmarkPath(b *testing.B) {
	entry, _, _ := pair(b, configurationOf(matcher.Idempotent, 1), respondWith("hello"))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest(http.MethodGet, entry.outbound.URL+"/obs/1?q=2", nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "h.example"
		r.Header.Set(names.RequestID, "9c41d07be2a35f68")
		r.Header.Set(names.Key, "Key k")
		r.Header.Set(names.TimeLeft, "1000")
		response, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
}

// BenchmarkForward is BenchmarkPath with a caller and an endpoint that write fixed bytes and allocate nothing, so that what
// it reports is the cost of the two nodes, and with the servers that a node has. Run it with GOMAXPROCS=1. It shows 153
// allocations and 11.0 kB a call; docs/design/path-cost.md has the figures of earlier code.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{400, 1500, 6000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkForward(b, size) })
	}
}

func benchmarkForward(b *testing.B, bodyBytes int) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 9c41d07be2a35f68\r\nX-Signature: 5d0f6a3b77\r\nContent-Type: application/json\r\n" +
		fmt.Sprintf("Date: Fri, 04 Dec 2026 01:00:00 GMT\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	endpointAddress := answerAll(b, []byte(head+strings.Repeat("x", bodyBytes)))
	e := &endpoint{Server: &httptest.Server{URL: "http://" + endpointAddress}}
	entry, beside := newNode(b, "entry", "desk", e), newNode(b, "beside", "portal", e)
	for _, n := range []*node{entry, beside} {
		n.configure(b, configurationOf(matcher.Idempotent, 2))
	}
	exchangeMembers(entry, beside)
	keepProved(b, entry, beside)
	caller, err := net.Dial("tcp", outboundServer(b, entry))
	assert.NilError(b, err)
	defer caller.Close()
	request := []byte("GET /obs/1?q=2 HTTP/1.1\r\nHost: h.example\r\nX-Id: 9c41d07be2a35f68\r\nX-Key: Key k\r\nX-Left: 1000\r\n" +
		"Accept: application/json\r\nUser-Agent: caller/1\r\n\r\n")
	answer := make([]byte, 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := caller.Write(request); err != nil {
			b.Fatal(err)
		}
		if err := readAnswer(caller, answer, bodyBytes); err != nil {
			b.Fatal(err)
		}
	}
}

// keepProved renews the proof of the nodes' configuration, which is older than the bound on withdrawn keys after 5 s.
func keepProved(b *testing.B, nodes ...*node) {
	go func() {
		for clock.Sleep(b.Context(), time.Second) {
			for _, n := range nodes {
				n.ApplyEvent(conductor.ConfigurationProved{Version: 3, AsOf: clock.Boot{}.Now()})
			}
		}
	}()
}

// readAnswer reads an answer whose body has a known length.
func readAnswer(c net.Conn, buffer []byte, bodyBytes int) error {
	read := 0
	for {
		n, err := c.Read(buffer[read:])
		if err != nil {
			return err
		}
		read += n
		end := bytes.Index(buffer[:read], []byte("\r\n\r\n"))
		switch {
		case !bytes.HasPrefix(buffer[:read], []byte("HTTP/1.1 200")):
			return fmt.Errorf("answer %q", buffer[:read])
		case end >= 0 && read >= end+4+bodyBytes:
			return nil
		}
	}
}

// answerAll accepts connections and writes the same answer for each request without a body.
func answerAll(b *testing.B, answer []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buffer := make([]byte, 4<<10)
				for {
					n, err := c.Read(buffer)
					if err != nil || !bytes.HasSuffix(buffer[:n], []byte("\r\n\r\n")) {
						return
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// outboundServer starts a server for callers as a node has it, and returns its address.
func outboundServer(b *testing.B, n *node) string {
	p := pipeliner.New(pipeliner.Options{
		Handler: http.HandlerFunc(n.ServeOutbound), MaxAhead: 4, MayStartAhead: n.MayPipeline,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s := &http.Server{Handler: p, ConnContext: p.Context, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
	go func() { _ = s.Serve(p.Listen(l)) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

const benchmarkedConnections = 1000

// BenchmarkIdleConnection reports the heap and the stacks for each idle kept connection, after a request of 400 bytes and
// an answer of 6,000: to an endpoint (one end), between nodes (both ends), and from a caller (one end). The heap in use
// counts a span of two buffers while one of them is live; live-B leaves the other out. It shows 1.4 kB, 20 kB and 19 kB in
// use.
func BenchmarkIdleConnection(b *testing.B) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("x", 6000)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Content-Length"] = []string{"6000"}
		_, _ = io.WriteString(w, answer[len(answer)-6000:])
	})
	b.Run("toEndpoint", func(b *testing.B) {
		address := answerOnce(b, []byte(answer))
		benchmarkConnections(b, func(b *testing.B) { keepConnections(b, address) })
	})
	b.Run("betweenNodes", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
		go func() { _ = s.Serve(l) }()
		b.Cleanup(func() { _ = s.Close() })
		benchmarkConnections(b, func(b *testing.B) { keepConnections(b, l.Addr().String()) })
	})
	b.Run("fromCaller", func(b *testing.B) {
		p := pipeliner.New(pipeliner.Options{Handler: handler, MaxAhead: 4, MayStartAhead: func(*http.Request) bool { return false }})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		s := &http.Server{Handler: p, ConnContext: p.Context, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
		go func() { _ = s.Serve(p.Listen(l)) }()
		b.Cleanup(func() { _ = s.Close() })
		request := []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Pad: " + strings.Repeat("x", 400) + "\r\n\r\n")
		buffer := make([]byte, 16<<10)
		benchmarkConnections(b, func(b *testing.B) {
			for range benchmarkedConnections {
				c, err := net.Dial("tcp", l.Addr().String())
				assert.NilError(b, err)
				b.Cleanup(func() { _ = c.Close() })
				_, err = c.Write(request)
				assert.NilError(b, err)
				assert.NilError(b, readAnswer(c, buffer, 6000))
			}
		})
	})
}

// keepConnections opens connections with the client that a node has, uses each once and keeps them idle.
func keepConnections(b *testing.B, address string) {
	c := requester.New(requester.Options{
		DialTimeout: clock.Second, IdleTime: clock.Minute, MaxIdle: benchmarkedConnections,
		Connections: requester.NewConnections(10 * benchmarkedConnections), Now: clock.New().Now,
	})
	b.Cleanup(func() { c.CloseIdle(address) })
	header := http.Header{"X-Pad": {strings.Repeat("x", 400)}}
	responses := make([]*requester.Response, 0, benchmarkedConnections)
	for range benchmarkedConnections {
		response, err := c.Do(b.Context(), address, &requester.Request{Method: "GET", URI: "/", Host: "h", Header: header})
		assert.NilError(b, err)
		responses = append(responses, response)
	}
	for _, response := range responses {
		_, err := io.Copy(io.Discard, response.Body)
		response.Close(err == nil)
	}
}

// answerOnce is answerAll for one request on each connection, without a goroutine for each.
func answerOnce(b *testing.B, answer []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		buffer := make([]byte, 4<<10)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = c.Read(buffer)
			_, _ = c.Write(answer)
		}
	}()
	return l.Addr().String()
}

func benchmarkConnections(b *testing.B, open func(b *testing.B)) {
	var bytesInUse, liveBytes uint64
	rounds := 0
	for b.Loop() {
		before := memoryInUse()
		open(b)
		after := memoryInUse()
		bytesInUse += after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
		liveBytes += after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
		rounds++
	}
	connections := float64(rounds * benchmarkedConnections)
	b.ReportMetric(float64(bytesInUse)/connections, "B/connection")
	b.ReportMetric(float64(liveBytes)/connections, "live-B/connection")
}

// memoryInUse collects more than once before it reads, since stacks shrink by half and pooled buffers are released over
// several collections.
func memoryInUse() runtime.MemStats {
	for range 4 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}
