// In normal operation, the effect of this product that users notice is its added latency. It is measured against direct
// calls to the same backend servers, in the same run and at the same rate, since no absolute time is stable on a shared
// machine.
//
// Example: at depth 1 a call goes entry node -> delivery node -> backend server, and directly caller -> backend server;
// the difference is what two nodes add.

package prober

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/launcher"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

const (
	team     = "prober"
	slots    = 400
	warmUp   = 2 * time.Second
	deadline = 10 * time.Second
	// kneeCallers is more callers than it takes to use the whole machine.
	kneeCallers  = 64
	kneeDuration = 3 * time.Second
	// kneeLoadFraction is the fraction of the highest throughput at which latency "at the knee" is measured.
	kneeLoadFraction = 0.5
)

// Options configure a measurement.
type Options struct {
	// Depths are the lengths of the call chains.
	Depths []int
	// Rate is the number of calls a second that enter.
	Rate float64
	// Time is the duration of each load.
	Time time.Duration
	Seed uint64
	// Knee also measures at half of the highest throughput of the path through the nodes.
	Knee bool
}

// Line is the result of one load on both paths.
type Line struct {
	Depth  int
	Load   string
	Rate   float64
	Calls  int
	Failed int
	// The latencies of the direct path and of the path through the nodes, in milliseconds.
	DirectP50, DirectP99 float64
	NodesP50, NodesP99   float64
	// AddedP50 and AddedP99 are the differences for the whole chain, PerHop those for a single call of it.
	AddedP50, AddedP99   float64
	PerHopP50, PerHopP99 float64
	// Highest is the throughput through the nodes with as many callers as the machine can serve.
	Highest float64
}

// Run measures each depth and reports a line for each load.
func Run(ctx context.Context, o Options, report func(Line) error) error {
	for _, depth := range o.Depths {
		if err := runDepth(ctx, o, depth, report); err != nil {
			return fmt.Errorf("depth %d: %w", depth, err)
		}
	}
	return nil
}

func runDepth(ctx context.Context, o Options, depth int, report func(Line) error) error {
	p, err := newChainPair(ctx, depth, o.Seed)
	if err != nil {
		return err
	}
	defer p.close()
	if err := p.warmUpPaths(ctx); err != nil {
		return err
	}
	if err := report(p.measure(ctx, o, "steady", o.Rate)); err != nil || !o.Knee {
		return err
	}
	maxThroughput := p.maxThroughput(ctx)
	line := p.measure(ctx, o, "knee", maxThroughput*kneeLoadFraction)
	line.Highest = maxThroughput
	return report(line)
}

// chainPair is one chain of services, reachable directly and through nodes.
type chainPair struct {
	depth  int
	seed   uint64
	fleet  *launcher.Fleet
	direct []*responder.Server
	client *http.Client
}

func serviceName(i int) string { return fmt.Sprintf("link%d", i) }

// newChainPair launches the chain. The entry is the last member, whose own service is not part of the chain, so that
// each call passes two nodes.
func newChainPair(ctx context.Context, depth int, seed uint64) (*chainPair, error) {
	p := &chainPair{depth: depth, seed: seed, client: newClient()}
	f, err := launcher.Start(ctx, launcher.Options{Plan: buildPlan(depth), Seed: seed})
	if err != nil {
		return nil, err
	}
	p.fleet = f
	if err := p.listenDirect(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}, Timeout: deadline}
}

func buildPlan(depth int) launcher.Plan {
	pl := launcher.Plan{Deployment: "prober", Domains: []string{"alfa"}}
	preset := definer.Preset{
		Name:    "prober",
		Domains: []definer.DomainShare{{Domain: "alfa", PerMille: 1000}},
		Teams:   []definer.Team{{Name: team, Rate: 1e9, Burst: 1e8, Weight: 1}},
	}
	for i := range depth + 1 {
		s := launcher.Service{Name: serviceName(i), Endpoints: 1, Slots: slots, Connections: slots}
		if i < depth-1 {
			s.Calls = []responder.Nested{{Service: serviceName(i + 1), Method: http.MethodGet, Path: "/"}}
		}
		pl.Services = append(pl.Services, s)
		preset.Services = append(preset.Services, definer.Service{
			Name:    identifier.Service(s.Name),
			Timeout: clock.FromStd(deadline),
			MaxBody: 1 << 20,
			Routes:  []definer.Route{{Method: "*", Prefix: "/", Priority: identifier.Normal, Idempotent: true}},
		})
	}
	pl.Presets = []definer.Preset{preset}
	return pl
}

// listenDirect starts the same chain without nodes, from its last service to its first.
func (p *chainPair) listenDirect() error {
	var next *responder.Server
	for i := p.depth - 1; i >= 0; i-- {
		target := next
		o := responder.Options{Endpoint: serviceName(i), Service: serviceName(i), Listen: "127.0.0.1:0", Slots: slots}
		if target != nil {
			o.Calls = []responder.Nested{{Service: serviceName(i + 1), Method: http.MethodGet, Path: "/"}}
			o.Call = func(r *http.Request, _ responder.Nested) (string, int) {
				return p.get(r.Context(), "http://"+target.Address()+"/", "")
			}
		}
		s, err := responder.Listen(o)
		if err != nil {
			return err
		}
		p.direct = append(p.direct, s)
		next = s
	}
	return nil
}

func (p *chainPair) close() {
	for _, s := range p.direct {
		s.Crash()
	}
	p.fleet.Close()
	p.client.CloseIdleConnections()
}

func (p *chainPair) get(ctx context.Context, target, key string) (string, int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return "", 0
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := p.client.Do(req)
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

func (p *chainPair) callDirect(ctx context.Context) bool {
	_, status := p.get(ctx, "http://"+p.direct[len(p.direct)-1].Address()+"/", "")
	return status == http.StatusOK
}

func (p *chainPair) callThroughNodes(ctx context.Context) bool {
	entry := p.fleet.Members[len(p.fleet.Members)-1]
	_, status := p.get(ctx, entry.CallerURL()+"/"+serviceName(0)+"/", p.fleet.Keys[team])
	return status == http.StatusOK
}

// warmUpPaths opens the connections and fills the team's bucket.
func (p *chainPair) warmUpPaths(ctx context.Context) error {
	end := time.Now().Add(warmUp)
	for time.Now().Before(end) {
		p.callThroughNodes(ctx)
		p.callDirect(ctx)
	}
	return ctx.Err()
}

func (p *chainPair) measure(ctx context.Context, o Options, load string, rate float64) Line {
	direct := p.load(ctx, rate, o.Time, p.callDirect)
	nodes := p.load(ctx, rate, o.Time, p.callThroughNodes)
	l := Line{
		Depth:     p.depth,
		Load:      load,
		Rate:      rate,
		Calls:     int(nodes.times.TotalCount()),
		Failed:    int(nodes.failed.Load() + direct.failed.Load()),
		DirectP50: direct.percentile(50),
		DirectP99: direct.percentile(99),
		NodesP50:  nodes.percentile(50),
		NodesP99:  nodes.percentile(99),
	}
	l.AddedP50 = l.NodesP50 - l.DirectP50
	l.AddedP99 = l.NodesP99 - l.DirectP99
	l.PerHopP50 = l.AddedP50 / float64(p.depth)
	l.PerHopP99 = l.AddedP99 / float64(p.depth)
	return l
}

type latencies struct {
	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	failed atomic.Int64
}

func newLatencies() *latencies {
	return &latencies{times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (o *latencies) add(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// Values beyond the histogram's range are longer than any call may take.
	_ = o.times.RecordValue(max(1, d.Microseconds()))
}

func (o *latencies) percentile(quantile float64) float64 {
	const microsecondsPerMs = 1000
	return float64(o.times.ValueAtQuantile(quantile)) / microsecondsPerMs
}

// load sends calls at random times without waiting for answers.
func (p *chainPair) load(ctx context.Context, rate float64, d time.Duration, call func(context.Context) bool) *latencies {
	out := newLatencies()
	random := rand.New(rand.NewPCG(p.seed, 7))
	var group sync.WaitGroup
	next := time.Now()
	end := next.Add(d)
	for next.Before(end) && ctx.Err() == nil {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		group.Go(func() {
			began := time.Now()
			if !call(ctx) {
				out.failed.Add(1)
				return
			}
			out.add(time.Since(began))
		})
	}
	group.Wait()
	return out
}

// maxThroughput returns the throughput through the nodes with callers that each wait for their answers.
func (p *chainPair) maxThroughput(ctx context.Context) float64 {
	var done atomic.Int64
	var stop atomic.Bool
	var group sync.WaitGroup
	for range kneeCallers {
		group.Go(func() {
			for !stop.Load() && ctx.Err() == nil {
				if p.callThroughNodes(ctx) {
					done.Add(1)
				}
			}
		})
	}
	time.Sleep(kneeDuration / 3)
	before := done.Load()
	time.Sleep(kneeDuration)
	after := done.Load()
	stop.Store(true)
	group.Wait()
	return float64(after-before) / kneeDuration.Seconds()
}
