package transporter

import (
	"context"
	"errors"
	"io"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

type callFunc = func(context.Context, identifier.Node, CallHead, io.Reader, AnswerWriter)

// zeros returns a reader of n zero bytes.
func zeros(n int64) io.Reader {
	return io.LimitReader(zeroReader{}, n)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func shortTimeouts(o *Options) {
	o.PeerTimeout = 300 * clock.Millisecond
	o.DialTimeout = 300 * clock.Millisecond
}

// Nodes crash, hang, refuse, become unreachable behind a partition or are replaced by another node. The phase must be
// right about whether the call may have run: a caller that is told "not run" sends its request again, which would run
// twice if that were wrong.
func TestPhaseIsTrue(t *testing.T) {
	writeHalf := func(ctx context.Context, w AnswerWriter) {
		_ = w.WriteHead(AnswerHead{Status: 200})
		_, _ = w.Write([]byte("half"))
		_ = w.Flush()
		<-ctx.Done()
	}
	var partitioned atomic.Bool
	cases := map[string]struct {
		call    callFunc
		prepare func(a, b *Transporter, to *Peer)
		during  func(b *Transporter)
		options func(a, b *Options)
		want    Phase
		ran     bool
	}{
		"crashes before the head": {
			call:   func(ctx context.Context, _ identifier.Node, _ CallHead, _ io.Reader, _ AnswerWriter) { <-ctx.Done() },
			during: crash, want: Sent, ran: true,
		},
		"crashes in the middle of the body": {
			call: func(ctx context.Context, _ identifier.Node, _ CallHead, _ io.Reader, w AnswerWriter) {
				writeHalf(ctx, w)
			},
			during: crash, want: Answered, ran: true,
		},
		"handler returns in the middle of the body": {
			call: func(_ context.Context, _ identifier.Node, _ CallHead, _ io.Reader, w AnswerWriter) {
				_ = w.WriteHead(AnswerHead{Status: 200})
				_, _ = w.Write([]byte("half"))
			},
			want: Sent, ran: true,
		},
		"handler never answers": {
			call: func(context.Context, identifier.Node, CallHead, io.Reader, AnswerWriter) {},
			want: Sent, ran: true,
		},
		"partition during the call": {
			call:   func(ctx context.Context, _ identifier.Node, _ CallHead, _ io.Reader, _ AnswerWriter) { <-ctx.Done() },
			during: func(*Transporter) { partitioned.Store(true) }, want: Sent, ran: true,
		},
		"partition before the call": {
			prepare: func(*Transporter, *Transporter, *Peer) { partitioned.Store(true) }, want: NotSent,
		},
		"no node listens at the address": {
			prepare: func(_, b *Transporter, _ *Peer) { crash(b) }, want: NotSent,
		},
		"another node listens at the address": {
			prepare: func(_, _ *Transporter, to *Peer) { to.Node = "forerunner" }, want: NotSent,
		},
		"peer is closing": {
			prepare: func(_, b *Transporter, _ *Peer) {
				b.mu.Lock()
				b.closing = true
				b.mu.Unlock()
			}, want: NotSent,
		},
		"head too large": {
			options: func(a, _ *Options) { a.MaxHead = 40 }, want: NotSent,
		},
		"head too large for the peer": {
			options: func(_, b *Options) { b.MaxHead = 40 }, want: NotSent,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			partitioned.Store(false)
			f := newFleet(t)
			entered := make(chan struct{})
			var ran atomic.Bool
			optionsA, optionsB := Options{}, Options{}
			if c.options != nil {
				c.options(&optionsA, &optionsB)
			}
			a, _ := f.start("a", funcHandler{}, func(o *Options) {
				shortTimeouts(o)
				o.MaxHead = optionsA.MaxHead
				o.Partitioned = func(identifier.Node) bool { return partitioned.Load() }
			})
			b, to := f.start("b", funcHandler{call: func(
				ctx context.Context, n identifier.Node, h CallHead, r io.Reader, w AnswerWriter,
			) {
				ran.Store(true)
				close(entered)
				c.call(ctx, n, h, r, w)
			}}, func(o *Options) {
				shortTimeouts(o)
				o.MaxHead = optionsB.MaxHead
			})
			if c.prepare != nil {
				c.prepare(a, b, &to)
			}
			if c.during != nil {
				go func() {
					<-entered
					time.Sleep(20 * time.Millisecond)
					c.during(b)
				}()
			}
			head := CallHead{Service: "ice", Method: "GET", Path: "/a-path-that-makes-the-head-long"}
			answer, phase, err := a.Call(context.Background(), to, head, nil)
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				_, complete := answer.Tail()
				assert.Assert(t, !complete)
			}
			var callErr CallError
			assert.Assert(t, errors.As(err, &callErr), "%v", err)
			assert.Equal(t, callErr.Phase, c.want)
			assert.Equal(t, phase, c.want)
			assert.Equal(t, ran.Load(), c.ran)
		})
	}
}

// A caller cancels, or its deadline passes, while the handler at the other node is still working. The handler's context
// must end, or the node goes on with work whose result is not needed; and its late answer must not reach another caller.
func TestCancelledCallEndsHandlerAndDropsAnswer(t *testing.T) {
	f := newFleet(t)
	ended := make(chan struct{})
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: func(
		ctx context.Context, n identifier.Node, h CallHead, r io.Reader, w AnswerWriter,
	) {
		if h.Path == "/slow" {
			<-ctx.Done()
			_ = w.WriteHead(AnswerHead{Status: 200})
			_, _ = w.Write([]byte("late"))
			assert.Check(t, w.Close(AnswerTail{}) != nil)
			close(ended)
			return
		}
		echo(ctx, n, h, r, w)
	}}, nil)
	// The connection is opened before, since its handshake can take longer than the deadline beside other work.
	_, _, err := callText(context.Background(), a, to, "first")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, phase, err := a.Call(ctx, to, CallHead{Path: "/slow"}, nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, phase, Sent)
	for range 20 {
		got, _, err := callText(context.Background(), a, to, "mine")
		assert.NilError(t, err)
		assert.Equal(t, got, "mine")
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the handler's context did not end within 2 s of the caller's cancellation")
	}
}

// A node refuses an upload at once while the caller is still sending. The caller must get the refusal, not an error of
// its upload, and must stop sending.
func TestEarlyRefusalStopsTheUpload(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: func(
		_ context.Context, _ identifier.Node, _ CallHead, _ io.Reader, w AnswerWriter,
	) {
		_ = w.WriteHead(AnswerHead{Status: 503, Refusal: &Refusal{Reason: "shed", NotRun: true, RetryAfter: 40, DecidedBy: "b"}})
		_ = w.Close(AnswerTail{Allowance: 3})
	}}, nil)
	body := &countingReader{r: zeros(200 << 20)}
	answer, _, err := a.Call(context.Background(), to, CallHead{ContentLength: 200 << 20}, body)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Head.Refusal, &Refusal{Reason: "shed", NotRun: true, RetryAfter: 40, DecidedBy: "b"})
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err)
	tail, complete := answer.Tail()
	assert.Assert(t, complete && tail.Allowance == 3)
	time.Sleep(50 * time.Millisecond)
	sent := body.n.Load()
	assert.Assert(t, sent < 20<<20, "%d bytes were read for a refused upload", sent)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, body.n.Load(), sent)
}

type countingReader struct {
	r io.Reader
	n atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// A caller uploads 200 MB through a node that may use 64 MB of memory, and a slow reader fetches as much. A node that
// buffered whole bodies would run out of memory, and all its other calls would fail with it.
func TestLargeBodiesPassWithFlatMemory(t *testing.T) {
	f := newFleet(t)
	const size = 200 << 20
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: echo}, nil)
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	answer, _, err := a.Call(context.Background(), to, CallHead{ContentLength: size}, zeros(size))
	assert.NilError(t, err)
	var peak uint64
	got := int64(0)
	for step := int64(8 << 20); err == nil; got += step {
		step, err = io.CopyN(io.Discard, answer.Body, 8<<20)
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc)
	}
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, got, int64(size))
	grown := int64(peak) - int64(before.HeapAlloc)
	t.Logf("heap grew by at most %d KB", grown>>10)
	assert.Assert(t, grown < 40<<20, "the heap grew by %d bytes", grown)
}

// The caller's own connection breaks in the middle of its upload. The backend server must get an error, never the end
// of a body: it would accept half a document as a complete one.
func TestBrokenUploadNeverEndsCleanly(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", funcHandler{}, nil)
	seen, entered := make(chan error, 1), make(chan struct{}, 1)
	_, to := f.start("b", funcHandler{call: func(
		_ context.Context, _ identifier.Node, _ CallHead, r io.Reader, _ AnswerWriter,
	) {
		entered <- struct{}{}
		_, err := io.Copy(io.Discard, r)
		seen <- err
	}}, nil)
	for name, length := range map[string]int64{"unknown length": -1, "large": 1 << 20} {
		body := io.MultiReader(strings.NewReader("half"), brokenReader(entered))
		_, phase, err := a.Call(context.Background(), to, CallHead{ContentLength: length}, body)
		assert.ErrorIs(t, err, io.ErrClosedPipe, name)
		assert.Equal(t, phase, Sent)
		assert.Assert(t, <-seen != nil, name)
	}
	body := strings.NewReader("half")
	_, phase, err := a.Call(context.Background(), to, CallHead{ContentLength: 100}, body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, phase, NotSent)
}

// brokenReader fails once the handler at the peer has started.
type brokenReader chan struct{}

func (b brokenReader) Read([]byte) (int, error) {
	<-b
	return 0, io.ErrClosedPipe
}

// A client in the network presents a certificate of another authority, or none. It must not be able to call a node.
func TestUntrustedCertificatesAreRejected(t *testing.T) {
	own, other := newFleet(t), newFleet(t)
	called := func(context.Context, identifier.Node, CallHead, io.Reader, AnswerWriter) {
		t.Error("a call without a trusted certificate was served")
	}
	_, to := own.start("b", funcHandler{call: called}, shortTimeouts)
	cases := map[string]*fleet{
		"client of another authority":                        {t: t, server: own.server, client: other.client},
		"client of another authority trusts this one":        {t: t, server: own.server, client: clientOfOtherAuthority(own, other)},
		"client trusts this authority, sends no certificate": {t: t, server: own.server, client: withoutCertificate(own)},
	}
	for name, f := range cases {
		a, _ := f.start("a", funcHandler{}, shortTimeouts)
		_, phase, err := a.Call(context.Background(), to, CallHead{}, nil)
		assert.Assert(t, err != nil, name)
		assert.Equal(t, phase, NotSent, name)
	}
}

// A peer is dead or handles messages far more slowly than they are sent. The event loop must not block, and memory must
// not grow without bound.
func TestControlQueueIsBounded(t *testing.T) {
	f := newFleet(t)
	block := make(chan struct{})
	defer close(block)
	a, _ := f.start("a", funcHandler{}, func(o *Options) { o.MaxQueueBytes = 4 << 20 })
	_, to := f.start("b", funcHandler{control: func(identifier.Node, []byte) { <-block }}, nil)
	start := time.Now()
	var err error
	accepted := 0
	for ; err == nil && accepted < 10_000; accepted++ {
		err = a.SendControl(to, make([]byte, 64<<10))
		time.Sleep(time.Millisecond)
	}
	assert.ErrorType(t, err, OverflowError{})
	assert.Assert(t, accepted < 400, "%d messages of 64 KB were queued, expected fewer than 400", accepted)
	assert.Assert(t, time.Since(start) < 5*time.Second)
}

// A VM is replaced while a caller uploads: the node starts to close its links and ends only when the upload is complete.
// Otherwise a planned stop would truncate uploads.
func TestCloseFinishesStreams(t *testing.T) {
	f := newFleet(t)
	for name, closeCaller := range map[string]bool{"caller closes": true, "callee closes": false} {
		t.Run(name, func(t *testing.T) {
			a, _ := f.start("a", funcHandler{}, nil)
			b, to := f.start("b", funcHandler{call: promptEcho}, nil)
			r, w := io.Pipe()
			answer, _, err := a.Call(context.Background(), to, CallHead{ContentLength: -1}, r)
			assert.NilError(t, err)
			closing := b
			if closeCaller {
				closing = a
			}
			closed := make(chan error, 1)
			go func() { closed <- closing.Close(context.Background()) }()
			time.Sleep(50 * time.Millisecond)
			_, _, err = callText(context.Background(), a, to, "new")
			assert.Assert(t, err != nil)
			_, err = w.Write([]byte("upload"))
			assert.NilError(t, err)
			assert.NilError(t, w.Close())
			got, err := io.ReadAll(answer.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(got), "upload")
			assert.NilError(t, <-closed)
		})
	}
}

// Calls arrive just when the idle connection between two nodes is being closed. None may fail for that.
func TestClosingIdleLinksFailsNoCall(t *testing.T) {
	f := newFleet(t)
	idle := func(o *Options) { o.IdleAfter = 4 * clock.Millisecond }
	a, toA := f.start("a", funcHandler{call: echo}, idle)
	b, toB := f.start("b", funcHandler{call: echo}, idle)
	for i := range 150 {
		time.Sleep(time.Duration(3500+i*20) * time.Microsecond)
		from, to := a, toB
		if i%2 == 1 {
			from, to = b, toA
		}
		_, _, err := callText(context.Background(), from, to, "now and then")
		assert.NilError(t, err)
	}
	for range 100 {
		if a.Stats().Links+b.Stats().Links == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d idle links are still open, expected 0", a.Stats().Links+b.Stats().Links)
}

// A VM's process is restarted while calls are on their way to it. Its peers must detect that at once rather than after
// PeerTimeout, for which callers would wait.
func TestRestartedPeerIsDetectedAtOnce(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", funcHandler{}, func(o *Options) { o.PeerTimeout = clock.Minute })
	b, to := f.start("b", funcHandler{call: echo}, nil)
	_, _, err := callText(context.Background(), a, to, "before")
	assert.NilError(t, err)
	crash(b)
	_, again := f.start("b2", funcHandler{call: echo}, func(o *Options) { o.Listen = to.Address })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _, err = callText(ctx, a, to, "lost")
	var callErr CallError
	assert.Assert(t, errors.As(err, &callErr) && callErr.Phase == Sent, "%v", err)
	assert.NilError(t, ctx.Err())
	_, _, err = callText(ctx, a, again, "after")
	assert.NilError(t, err)
}

// A node normally has hundreds of idle connections. Keep-alive packets on each would use up the whole budget for
// control traffic. A call that takes longer than PeerTimeout must still get its answer.
func TestIdleLinksSendNothingAndSlowCallsSurvive(t *testing.T) {
	f := newFleet(t)
	release := make(chan struct{})
	a, _ := f.start("a", funcHandler{}, shortTimeouts)
	b, to := f.start("b", funcHandler{call: func(
		ctx context.Context, n identifier.Node, h CallHead, r io.Reader, w AnswerWriter,
	) {
		<-release
		echo(ctx, n, h, r, w)
	}}, shortTimeouts)
	time.AfterFunc(4*a.options.PeerTimeout.Std(), func() { close(release) })
	got, _, err := callText(context.Background(), a, to, "slow")
	assert.NilError(t, err)
	assert.Equal(t, got, "slow")
	time.Sleep(200 * time.Millisecond)
	before := a.Stats()
	time.Sleep(4 * a.options.PeerTimeout.Std())
	after := a.Stats()
	assert.Equal(t, after.Links, 1)
	assert.Assert(t, after.PacketsSent <= before.PacketsSent+2, "%d packets sent on an idle link, expected at most 2", after.PacketsSent-before.PacketsSent)
	assert.Equal(t, b.Stats().Links, 1)
}
