// A planned stop must not affect callers: the node announces to the fleet that it is leaving, finishes the calls under
// way, and only then closes its sockets. kill skips all of this to simulate a crash in tests.
//
// Example: Stop with an upload of three minutes under way returns after three minutes, if drainTimeout allows.

package assembler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/performer"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

const (
	tickInterval     = 10 * time.Millisecond
	idlePollInterval = 20 * time.Millisecond
	// stopMargin is the time that a stop takes in addition to the drain timeout.
	stopMargin = 15 * time.Second
)

func stopTimeout(o Options) time.Duration {
	return o.Settings.Limits.DrainTimeout.Std() + stopMargin
}

type lifecycle struct {
	killed       atomic.Bool
	clock        *clock.Clock
	logger       *log.Logger
	performer    *performer.Performer
	state        *reducer.State
	transporter  *transporter.Transporter
	effectRunner *effectRunner
	servers      *servers
	stateReader  *stateReader
	bounds       *bounds
	drainTimeout time.Duration
	cancel       context.CancelFunc
}

func newLifecycle(o Options, c *clock.Clock, p *performer.Performer, s *reducer.State, t *transporter.Transporter, runner *effectRunner, v *servers, reader *stateReader, b *bounds) *lifecycle {
	return &lifecycle{
		clock:        c,
		logger:       o.Logger,
		performer:    p,
		state:        s,
		transporter:  t,
		effectRunner: runner,
		servers:      v,
		stateReader:  reader,
		bounds:       b,
		drainTimeout: o.Settings.Limits.DrainTimeout.Std(),
	}
}

func runNode(lc fx.Lifecycle, s *lifecycle) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return s.start() },
		OnStop:  s.stop,
	})
}

func (s *lifecycle) start() error {
	publishMetrics(s.stateReader, s.bounds, s.transporter)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.effectRunner.run(ctx, s.performer.Apply)
	go s.tick(ctx)
	for _, v := range []*server{s.servers.admin, s.servers.local, s.servers.caller} {
		if err := v.start(); err != nil {
			cancel()
			return err
		}
	}
	return nil
}

func (s *lifecycle) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.performer.Apply(&reducer.Tick{Wall: s.clock.Wall()})
		}
	}
}

// kill closes the servers at once and makes the following stop behave like a crash.
func (s *lifecycle) kill() {
	s.killed.Store(true)
	s.cancel()
	for _, v := range []*server{s.servers.caller, s.servers.local, s.servers.admin} {
		v.kill()
	}
}

func (s *lifecycle) stop(ctx context.Context) error {
	defer s.cancel()
	defer withdrawMetrics(s.stateReader.id)
	if s.killed.Load() {
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_ = s.transporter.Close(cancelled)
		return nil
	}
	drainCtx, cancel := context.WithTimeout(ctx, s.drainTimeout)
	defer cancel()
	s.performer.Apply(&reducer.NodeLeaving{Wall: s.clock.Wall()})
	// Callers that use their connections while the node leaves are told by an answer that these end. Those that send ahead
	// can't be told so, and others may send nothing; after that time no more is read. Half of the drain timeout is left for
	// what was read.
	if err := s.servers.caller.startStop(); err != nil {
		s.logger.Warn("connections being set up may be reset", "error", err)
	}
	leaveCtx, cancelLeave := context.WithTimeout(drainCtx, s.drainTimeout/2)
	defer cancelLeave()
	s.await(leaveCtx, s.state.Departed)
	callerErr := s.servers.caller.stop(drainCtx)
	if callerErr != nil {
		s.logger.Warn("drain timeout passed", "error", callerErr)
	}
	s.await(drainCtx, s.state.Idle)
	_ = s.servers.local.stop(drainCtx)
	err := s.transporter.Close(drainCtx)
	_ = s.servers.admin.stop(ctx)
	s.logger.Info("node stopped")
	return err
}

// await waits until the state meets a condition or ctx ends.
func (s *lifecycle) await(ctx context.Context, met func(clock.Time) bool) {
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	for {
		ok := false
		s.performer.View(func(now clock.Time) { ok = met(now) })
		if ok {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
