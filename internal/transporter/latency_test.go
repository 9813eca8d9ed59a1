// Compares one hop over QUIC with one over TCP and TLS. The calls of all variants are interleaved in one run, since
// absolute times differ from run to run on a shared machine.
//
// Example: go test -run '^$' -bench HopAtSteadyRate -benchtime 8000x ./internal/transporter

package transporter

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	smallBody      = 256
	callsPerSecond = 400
)

func benchHead() CallHead {
	return CallHead{
		Request: "0192f0c1-7c1e-7d5b-9b8e-3f6a5d1c2b3a", Root: "0192f0c1-7c1e-7d5b-9b8e-3f6a5d1c2b3a",
		Team: "okhotskAgents", Service: "ice", Endpoint: "ice-3", Method: "POST", Path: "/bulletins/today",
		Header: []Field{
			{"Content-Type", "application/json"},
			{"Accept", "application/json"},
			{"User-Agent", "agent/3"},
			{"Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"},
		},
		ContentLength: smallBody, Rank: 9000, Deadline: 1800, Allowance: 2, Depth: 1,
	}
}

// tcpPool is the first variant compared with QUIC: one TLS connection for each call under way, reused by later calls.
type tcpPool struct {
	address string
	config  *tls.Config
	mu      sync.Mutex
	idle    []*tcpConn
}

type tcpConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (p *tcpPool) get() (*tcpConn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	conn, err := tls.Dial("tcp", p.address, p.config)
	if err != nil {
		return nil, err
	}
	return &tcpConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (p *tcpPool) call(head *CallHead, body string) error {
	c, err := p.get()
	if err != nil {
		return err
	}
	b := getBuffer()
	defer putBuffer(b)
	if err := appendFrame(b, "call head", callToWire(head), 1<<16); err != nil {
		return err
	}
	appendChunk(b, []byte(body))
	appendChunk(b, nil)
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return err
	}
	if err := readFrame(c.reader, "head", 1<<16, func(b []byte) error { _, err := decodeAnswer(b); return err }); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, &bodyReader{r: c.reader}); err != nil {
		return err
	}
	if err := readFrame(c.reader, "tail", 1<<16, func(b []byte) error { _, _, err := decodeTail(b); return err }); err != nil {
		return err
	}
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	return nil
}

func serveTCP(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		var head CallHead
		err := readFrame(r, "head", 1<<16, func(b []byte) (err error) { head, err = decodeCall(b); return err })
		if err != nil {
			return
		}
		body, _ := io.ReadAll(&bodyReader{r: r})
		b := new(bytes.Buffer)
		_ = appendFrame(b, "head", answerToWire(&AnswerHead{Status: 200, Header: head.Header}), 1<<16)
		appendChunk(b, body)
		appendChunk(b, nil)
		_ = appendFrame(b, "tail", tailToWire(AnswerTail{Threshold: 7}, true), 1<<16)
		if _, err := conn.Write(b.Bytes()); err != nil {
			return
		}
	}
}

func startTCP(t testing.TB, f *fleet) *tcpPool {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", f.server)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveTCP(conn)
		}
	}()
	return &tcpPool{address: listener.Addr().String(), config: f.client}
}

func quicCall(a *Transporter, to Peer, head CallHead, body string) error {
	answer, _, err := a.Call(context.Background(), to, head, strings.NewReader(body))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

// startHTTP2 starts the second variant compared with QUIC: the standard library's streams over one TCP connection.
func startHTTP2(t testing.TB) func(ctx context.Context, body string) error {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
			return
		}
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "Tail")
		_, _ = w.Write(body)
		w.Header().Set("Tail", "0 7 0 0")
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	t.Cleanup(server.Close)
	client := server.Client()
	return func(ctx context.Context, body string) error {
		path := "/bulletins/today"
		if body == "" {
			path = "/slow"
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		for _, f := range benchHead().Header {
			r.Header.Set(f.Name, f.Value)
		}
		answer, err := client.Do(r)
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
		return err
	}
}

// BenchmarkHopAtSteadyRate sends 400 calls a second over each transport, at random moments.
func BenchmarkHopAtSteadyRate(b *testing.B) {
	f := newFleet(b)
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: echo}, nil)
	pool := startTCP(b, f)
	http2 := startHTTP2(b)
	body := strings.Repeat("x", smallBody)
	ways := map[string]func() error{
		"quic":  func() error { return quicCall(a, to, benchHead(), body) },
		"tcp":   func() error { h := benchHead(); return pool.call(&h, body) },
		"http2": func() error { return http2(context.Background(), body) },
	}
	for range 200 {
		for _, call := range ways {
			assert.NilError(b, call())
		}
	}
	var wait sync.WaitGroup
	results := map[string]*hdrhistogram.Histogram{}
	b.ResetTimer()
	for name, call := range ways {
		h := hdrhistogram.New(1, int64(time.Minute), 3)
		results[name] = h
		wait.Go(func() { sendAtRandomTimes(b, call, h) })
	}
	wait.Wait()
	for name, h := range results {
		b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, name+"-p50-µs")
		b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, name+"-p99-µs")
	}
	b.ReportMetric(0, "ns/op")
}

// sendAtRandomTimes sends b.N calls whose starts do not wait for each other's answers.
func sendAtRandomTimes(b *testing.B, call func() error, h *hdrhistogram.Histogram) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := time.Now()
	for range b.N {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / callsPerSecond))
		time.Sleep(time.Until(next))
		wait.Go(func() {
			start := time.Now()
			err := call()
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			assert.Check(b, err)
			_ = h.RecordValue(int64(took))
		})
	}
	wait.Wait()
}

// BenchmarkCall sends one call after the other, for profiling.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b)
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: echo}, nil)
	pool := startTCP(b, f)
	body := strings.Repeat("x", smallBody)
	b.Run("quic", func(b *testing.B) {
		b.ReportAllocs()
		defer reportCPU(b, cpuTime(b))
		for b.Loop() {
			assert.NilError(b, quicCall(a, to, benchHead(), body))
		}
		reportPackets(b, a)
	})
	b.Run("tcp", func(b *testing.B) {
		b.ReportAllocs()
		defer reportCPU(b, cpuTime(b))
		for b.Loop() {
			h := benchHead()
			assert.NilError(b, pool.call(&h, body))
		}
	})
	http2 := startHTTP2(b)
	b.Run("http2", func(b *testing.B) {
		b.ReportAllocs()
		defer reportCPU(b, cpuTime(b))
		for b.Loop() {
			assert.NilError(b, http2(context.Background(), body))
		}
	})
}

// BenchmarkAbandonedCall cancels each call before its answer, as callers do in an overload: with pooled TCP each
// cancelled call costs its connection.
func BenchmarkAbandonedCall(b *testing.B) {
	f := newFleet(b)
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: func(
		ctx context.Context, _ identifier.Node, _ CallHead, _ io.Reader, _ AnswerWriter,
	) {
		<-ctx.Done()
	}}, nil)
	pool := startTCP(b, f)
	http2 := startHTTP2(b)
	ways := map[string]func(ctx context.Context) error{
		"quic":  func(ctx context.Context) error { _, _, err := a.Call(ctx, to, benchHead(), nil); return err },
		"http2": func(ctx context.Context) error { return http2(ctx, "") },
		"tcp": func(ctx context.Context) error {
			c, err := pool.get()
			assert.NilError(b, err)
			<-ctx.Done()
			_ = c.conn.Close()
			return ctx.Err()
		},
	}
	for name, call := range ways {
		b.Run(name, func(b *testing.B) {
			defer reportCPU(b, cpuTime(b))
			for b.Loop() {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
				assert.ErrorIs(b, call(ctx), context.DeadlineExceeded)
				cancel()
			}
		})
	}
}

func reportCPU(b *testing.B, start time.Duration) {
	b.ReportMetric(float64(cpuTime(b)-start)/1e3/float64(b.N), "cpu-µs/op")
}

// BenchmarkLargeBody sends 64 MB in each direction.
func BenchmarkLargeBody(b *testing.B) {
	const size = 64 << 20
	f := newFleet(b)
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: echo}, nil)
	b.SetBytes(size)
	defer reportCPU(b, cpuTime(b))
	for b.Loop() {
		answer, _, err := a.Call(context.Background(), to, CallHead{ContentLength: size}, zeros(size))
		assert.NilError(b, err)
		n, err := io.Copy(io.Discard, answer.Body)
		assert.NilError(b, err)
		assert.Equal(b, n, int64(size))
	}
}

// BenchmarkHeads encodes and decodes the heads and the tail of one call.
func BenchmarkHeads(b *testing.B) {
	head, answer := benchHead(), AnswerHead{Status: 200, Header: benchHead().Header}
	buffer := new(bytes.Buffer)
	b.ReportAllocs()
	for b.Loop() {
		buffer.Reset()
		assert.NilError(b, encodeTo(buffer, callToWire(&head)))
		_, err := decodeCall(buffer.Bytes())
		assert.NilError(b, err)
		buffer.Reset()
		assert.NilError(b, encodeTo(buffer, answerToWire(&answer)))
		_, err = decodeAnswer(buffer.Bytes())
		assert.NilError(b, err)
	}
}

func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportPackets reports how many packets the caller's node has sent and received per call.
func reportPackets(b *testing.B, a *Transporter) {
	for _, l := range a.currentLinks() {
		s := l.conn.ConnectionStats()
		b.ReportMetric(float64(s.PacketsSent)/float64(b.N), "sent/op")
		b.ReportMetric(float64(s.PacketsReceived)/float64(b.N), "received/op")
	}
}
