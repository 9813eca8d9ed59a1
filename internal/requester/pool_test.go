package requester

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// trafficPool is a pool under simulated traffic to one address.
type trafficPool struct {
	*pool
	now   clock.Time
	inUse []*conn
	dials int
	count *Connections
}

func newTrafficPool(followUse bool) *trafficPool {
	return &trafficPool{pool: newPool(Options{MaxIdle: 400, FollowUse: followUse}), count: NewConnections(1000)}
}

func (p *trafficPool) begin() {
	c := p.take("a", p.now)
	if c == nil {
		p.dials++
		p.count.Add(1)
		inner, _ := net.Pipe()
		c = &conn{Conn: inner, count: p.count, address: "a"}
		c.attachBuffers()
	}
	p.inUse = append(p.inUse, c)
}

// use begins and ends uses until n connections are in use.
func (p *trafficPool) use(n int) {
	for len(p.inUse) < n {
		p.begin()
	}
	for len(p.inUse) > n {
		c := p.inUse[0]
		p.inUse = p.inUse[1:]
		c.idleUntil = p.now.Add(8 * clock.Second)
		p.put(c, p.now)
	}
}

// After a surge, hundreds of idle connections would stay open for their whole idle time. No connection may be closed
// while the surge may still go on, and none in use at all.
func TestConnectionsOfSurgeAreClosed(t *testing.T) {
	tests := map[string]struct {
		followUse bool
		want      int64
	}{
		"between nodes":   {true, 45},
		"to the endpoint": {false, 300},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTrafficPool(test.followUse)
			p.use(300)
			p.use(30)
			p.now = p.now.Add(peakWindow)
			p.expire(p.now)
			assert.Equal(t, p.count.Open(), int64(300))
			p.now = p.now.Add(peakBin)
			p.expire(p.now)
			assert.Equal(t, p.count.Open(), test.want)
			for _, c := range p.inUse {
				assert.Assert(t, !c.closed.Load())
			}
		})
	}
}

// An address that is no longer used must not be remembered, since addresses change with the members of the fleet.
func TestUnusedAddressIsForgotten(t *testing.T) {
	p := newTrafficPool(true)
	p.use(3)
	p.use(0)
	p.now = p.now.Add(9 * clock.Second)
	p.expire(p.now)
	assert.Equal(t, p.count.Open(), int64(0))
	assert.Equal(t, len(p.addresses), 0)
}

// Steady random traffic must not open connections again that were closed as more than the recent use: a new one costs
// both nodes more than keeping it. The pool that keeps all is the measure.
func TestSteadyTrafficOpensNoConnectionsAgain(t *testing.T) {
	for _, mean := range []float64{0.3, 2, 20, 100} {
		t.Run(fmt.Sprint(mean), func(t *testing.T) {
			following, keeping := newTrafficPool(true), newTrafficPool(false)
			random := rand.New(rand.NewPCG(1, 2))
			uses := 0
			for now := clock.Time(0); now < clock.Time(120*clock.Second); now = now.Add(10 * clock.Millisecond) {
				// Each step, a tenth of the connections in use ends, and as many begin on average.
				n := len(following.inUse)
				for range len(following.inUse) {
					if random.Float64() < 0.1 {
						n--
					}
				}
				begun := poisson(random, mean/10)
				uses += begun
				for _, p := range []*trafficPool{following, keeping} {
					p.now = now
					p.use(n)
					p.use(n + begun)
					if int64(now)%int64(clock.Second) == 0 {
						p.expire(now)
					}
				}
			}
			again := following.dials - keeping.dials
			assert.Assert(t, again <= 0, "%d of %d uses opened a connection again", again, uses)
		})
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		n++
	}
	return n
}

// The peak must cover at least the window, or bursts would find their connections closed, and not much more.
func TestPeakCoversItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type change struct {
			at    clock.Time
			inUse int
		}
		var u usage
		changes := []change{{}}
		now := clock.Time(rapid.Int64Range(0, 1e9).Draw(t, "start"))
		u.advance(now)
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			now = now.Add(clock.Duration(rapid.Int64Range(0, 1200).Draw(t, "gap")))
			n := rapid.IntRange(-u.inUse, 50).Draw(t, "n")
			u.add(n, now)
			changes = append(changes, change{now, u.inUse})
		}
		highestSince := func(since clock.Time) int {
			highest := 0
			for i, c := range changes {
				if i+1 == len(changes) || changes[i+1].at >= since {
					highest = max(highest, c.inUse)
				}
			}
			return highest
		}
		got := u.peak(now)
		assert.Assert(t, got >= highestSince(now.Add(-peakWindow)), "peak %d too low", got)
		assert.Assert(t, got <= highestSince(now.Add(-peakWindow-peakBin)), "peak %d too high", got)
	})
}

// Connections are closed as more than the recent use while requests are sent. A request sent on a connection that is being
// closed may have run, and one that must not run twice would fail.
func TestClosingIdleConnectionsLosesNoRequest(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, err := io.WriteString(n, answerTo(r, "mine"))
		return err == nil
	})
	// The clock runs a hundred times as fast, so that peaks pass within milliseconds.
	started := time.Now()
	c := New(Options{
		DialTimeout: 100 * clock.Second, IdleTime: 5 * clock.Second, MaxIdle: 400, FollowUse: true, Connections: NewConnections(1000),
		Now: func() clock.Time { return clock.Time(time.Since(started) / (10 * time.Microsecond)) },
	})
	var ended atomic.Bool
	var expiring sync.WaitGroup
	expiring.Go(func() {
		for !ended.Load() {
			c.Expire()
		}
	})
	for surge := range 20 {
		var all sync.WaitGroup
		for i := range 1 + 39*(surge%2) {
			all.Go(func() {
				for j := range 20 {
					_, err := do(t, c, s, get(fmt.Sprintf("%d-%d-%d", surge, i, j)))
					assert.Check(t, err)
				}
			})
		}
		all.Wait()
	}
	ended.Store(true)
	expiring.Wait()
}

// Guards against connections that are kept long after a surge: of 40 that were in use at once, only the reserve is left when
// the peak has passed, and the next request uses one of these.
func TestIdleConnectionsOfASurgeAreClosed(t *testing.T) {
	const surge = 40
	var inUse sync.WaitGroup
	inUse.Add(surge)
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		if strings.HasPrefix(r.Header.Get("X-Id"), "held") {
			inUse.Done()
			inUse.Wait()
		}
		_, err := io.WriteString(n, answerTo(r, "mine"))
		return err == nil
	})
	var now atomic.Int64
	connections := NewConnections(1000)
	c := New(Options{
		DialTimeout: clock.Second, IdleTime: 30 * clock.Second, MaxIdle: 400, FollowUse: true, Connections: connections,
		Now: func() clock.Time { return clock.Time(now.Load()) },
	})
	var all sync.WaitGroup
	for i := range surge {
		all.Go(func() {
			_, err := do(t, c, s, get(fmt.Sprintf("held-%d", i)))
			assert.Check(t, err)
		})
	}
	all.Wait()
	assert.Equal(t, c.Dials(), int64(surge))
	assert.Equal(t, connections.Open(), int64(surge))
	now.Add(int64(peakWindow + peakBin + clock.Second))
	c.Expire()
	assert.Equal(t, connections.Open(), int64(minReserve))
	_, err := do(t, c, s, get("after"))
	assert.NilError(t, err)
	assert.Equal(t, c.Dials(), int64(surge))
}

// Guards against answers with chunk and trailer lines that the parser takes with a buffer of the usual 4 kB, and refuses with a
// smaller one.
func TestLongTrailersAreRead(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		_, err := fmt.Fprintf(n, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\nX-Long: %s\r\n\r\n",
			r.Header.Get("X-Id"), strings.Repeat("x", 4000))
		return err == nil
	})
	body, err := do(t, client(), s, get("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "mine")
}

// A use that is not ended would count as one for ever, and its connections would never be closed.
func TestEachUseEnds(t *testing.T) {
	s := serve(t, func(n net.Conn, r *http.Request, _ *bufio.Reader) bool {
		if r.Header.Get("X-Id") == "closes" {
			_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nX-Id: closes\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		_, err := io.WriteString(n, answerTo(r, "mine"))
		return err == nil
	})
	c := client()
	unreachable := "127.0.0.1:1"
	_, err := c.Do(context.Background(), unreachable, get("1"))
	assert.Assert(t, err != nil)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Do(cancelled, s.Addr().String(), get("2"))
	assert.Assert(t, err != nil)
	for _, id := range []string{"kept", "closes", "kept"} {
		_, err := do(t, c, s, get(id))
		assert.NilError(t, err)
	}
	abandoned, err := c.Do(context.Background(), s.Addr().String(), get("abandoned"))
	assert.NilError(t, err)
	abandoned.Close(false)
	abandoned.Close(false)
	for _, address := range []string{unreachable, s.Addr().String()} {
		assert.Equal(t, c.pool.at(address).usage.inUse, 0)
	}
}
