package mesher

// A node's listeners are opened at its start and closed at the end of its planned stop; a tick drives what depends on time.
//
// Example: n.listen(ctx, "10.1.0.9:7400", n.outbound, relayer.OutboundIdleTimeout.Std())

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/relayer"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

const (
	// headerTimeout bounds the reading of a request's header; callers are expected to send theirs within 3 s.
	headerTimeout = 10 * time.Second
	// otherIdleTimeout is how long an idle connection from the platform, the local endpoint's heartbeats or a peer is kept:
	// longer than the interval between their calls.
	otherIdleTimeout = 30 * time.Second
	// maxHeadBytes is the length of the longest head that is read, above the 16 KiB that callers may send.
	maxHeadBytes = 64 << 10
)

func (n *node) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.relayer.ApplyEvent(conductor.MembersSought{})
	s := n.options.Settings.Listen
	other := func(name string, h http.Handler) *pipeliner.Pipeliner {
		return n.newPipeliner(name, pipeliner.Options{Handler: h, KeepsBodies: true})
	}
	listeners := []struct {
		address string
		handler *pipeliner.Pipeliner
		idle    time.Duration
	}{
		{s.Outbound.String(), n.outbound, relayer.OutboundIdleTimeout.Std()},
		{s.Inbound.String(), n.inbound, relayer.InboundIdleTimeout.Std()},
		{s.Readiness.String(), other("readiness", http.HandlerFunc(n.serveReadiness)), otherIdleTimeout},
		{s.Announcements.String(), other("announcements", n.announcements()), otherIdleTimeout},
		{s.Peer.String(), other("peer", n.peerRouter()), otherIdleTimeout},
		{s.Metrics.String(), other("metrics", n.metricsRouter()), otherIdleTimeout},
	}
	for _, l := range listeners {
		if err := n.listen(ctx, l.address, l.handler, l.idle); err != nil {
			cancel()
			return err
		}
	}
	n.addGauges()
	go n.configurations.Run(ctx)
	go n.watchMembers(ctx)
	go n.writeRecords(ctx)
	go n.exchange(ctx)
	go n.tick(ctx)
	go n.reload(ctx)
	n.recorder.Event("node started", "service", string(n.options.Settings.Service),
		"failureDomain", string(n.options.Settings.Domain))
	return nil
}

func (n *node) listen(ctx context.Context, address string, p *pipeliner.Pipeliner, idle time.Duration) error {
	config := net.ListenConfig{KeepAliveConfig: requester.KeepAlive, Control: requester.ListenControl}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:           p,
		ConnContext:       p.Context,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idle,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          log.New(listenerLog{address: address, recorder: n.recorder}, "", 0),
		ConnState:         n.countConnection,
		BaseContext:       func(net.Listener) context.Context { return n.requests },
		// The server's own answer to "OPTIONS *" passes by the pipeliner, which then never learns that it has been given.
		DisableGeneralOptionsHandler: true,
	}
	n.servers = append(n.servers, s)
	go func() {
		if err := s.Serve(p.Listen(l)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.recorder.Dependency("listener "+address, err)
		}
	}()
	return nil
}

// listenerLog records the HTTP server's errors, such as connections that it could not accept, as dependency failures.
type listenerLog struct {
	address  string
	recorder *recorder.Recorder
}

// Write records one line of the server's error log.
func (l listenerLog) Write(line []byte) (int, error) {
	l.recorder.Dependency("listener "+l.address, errors.New(strings.TrimSpace(string(line))))
	return len(line), nil
}

func (n *node) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		n.connections.Add(-1)
	}
}

func (n *node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	ready := false
	n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { ready = c.Ready() })
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *node) tick(ctx context.Context) {
	ticker := time.NewTicker(conductor.TickPeriod.Std())
	defer ticker.Stop()
	var suspension clock.Suspension
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.reportSuspension(&suspension)
		n.relayer.ApplyEvent(conductor.Ticked{})
		if count%ticksPerReadCheck == 0 {
			n.configurations.Interrupt(n.readWait())
			n.retryAtCollector()
		}
		if count%ticksPerSecond == 0 {
			n.relayer.Expire()
			n.logLoad()
		}
		if count%ticksPerTotalsLog == 0 {
			n.recorder.LogCrossings()
			n.recorder.LogStoreCalls()
		}
	}
}

// reportSuspension reports to the conductor that the VM was suspended. After it has resumed, the node would otherwise treat
// its old reports as fresh: it would exchange reports with a node that was suspended as well, and receive none from the rest
// of the fleet.
func (n *node) reportSuspension(s *clock.Suspension) {
	var now clock.Time
	n.relayer.View(func(_ *conductor.Conductor, at clock.Time) { now = at })
	gap := s.Since(now, clock.Boot{}.Now())
	if gap == 0 {
		return
	}
	n.recorder.Event("woken", "suspendedMs", int64(gap))
	n.relayer.ApplyEvent(conductor.VMResumed{After: gap})
	n.exchangeSoon()
}

// ticksPerReadCheck is how many ticks pass between two checks whether the configuration read in flight waits longer than
// the current proof allows.
const ticksPerReadCheck = 4

// ticksPerSecond is the number of ticks a second: the interval at which idle connections are closed and the local endpoint's
// load is logged.
const ticksPerSecond = int(clock.Second / conductor.TickPeriod)

// ticksPerTotalsLog is how many ticks pass between two log lines with the totals of the traffic between failure domains and
// of the calls to the store.
const ticksPerTotalsLog = 4 * ticksPerSecond

// logLoad logs the load of the local endpoint, so that a refusal can be explained by the load in the same second.
func (n *node) logLoad() {
	var s conductor.State
	var counts conductor.KindCounts
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) { s, counts = c.Dump(now), c.TakeKindCounts() })
	n.logKindCounts(counts)
	n.recorder.Event("load", "running", s.Running, "queued", s.Queued, "limit", s.Limit, "queueMs", int64(s.QueueDelay),
		"arriving", int64(s.Arriving), "capable", int64(s.Capable), "fullRate", int64(s.FullRate),
		"excess", s.Excess, "excesses", s.Excesses, "open", s.Open, "connections", n.connections.Open(), "coldMs", int64(s.ColdLeft), "coldOthers", s.ColdOthers, "evacuated", s.Evacuated,
		"limited", s.Limited, "rateLimit", s.RateLimit, "limitAgeMs", int64(s.LimitAge), "heldBack", s.HeldBack,
		"otherLimits", s.OtherLimits)
	if s.RefusedComputed > 0 || s.RefusedMeasured > 0 {
		n.recorder.Event("requests refused for overload", "refusedComputed", s.RefusedComputed, "refusedMeasured", s.RefusedMeasured,
			"arrivalReporters", s.ArrivalReporters, "arrivalsComplete", s.ArrivalsComplete, "demandRatios", s.DemandRatios,
			"demands", s.Demands, "capacities", s.Capacities, "teamsDivided", s.TeamsDivided)
	}
}

// logKindCounts logs what became of each kind of request that entered here, and of the runs at the local endpoint, within the
// last second.
func (n *node) logKindCounts(counts conductor.KindCounts) {
	if len(counts.Routes) > 0 {
		n.recorder.Event("requests by route", "routes", fieldsOf(counts.Routes))
	}
	if len(counts.Runs) > 0 {
		n.recorder.Event("runs by level", "levels", fieldsOf(counts.Runs))
	}
}

// fieldsOf returns the fields of all values.
func fieldsOf[K comparable, V interface{ Fields() map[string]any }](all map[K]V) map[K]any {
	fields := make(map[K]any, len(all))
	for key, value := range all {
		fields[key] = value.Fields()
	}
	return fields
}
