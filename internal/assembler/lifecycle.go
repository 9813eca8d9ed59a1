// A planned stop must look to callers like nothing at all: the fleet is told, running calls finish, and only then do
// the sockets close. A crash is the same without any of it, which is what kill is for in tests.
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
	tickInterval = 10 * time.Millisecond
	idlePoll     = 20 * time.Millisecond
	// stopSlack is what a stop needs besides waiting for calls.
	stopSlack = 15 * time.Second
)

func stopTimeout(o Options) time.Duration {
	return o.Settings.Limits.DrainTimeout.Std() + stopSlack
}

type stopper struct {
	killed      atomic.Bool
	clock       *clock.Clock
	logger      *log.Logger
	performer   *performer.Performer
	state       *reducer.State
	transporter *transporter.Transporter
	outside     *outside
	servers     *servers
	source      *source
	drain       time.Duration
	cancel      context.CancelFunc
}

func newStopper(o Options, c *clock.Clock, p *performer.Performer, s *reducer.State, t *transporter.Transporter, out *outside, v *servers, src *source) *stopper {
	return &stopper{
		clock:       c,
		logger:      o.Logger,
		performer:   p,
		state:       s,
		transporter: t,
		outside:     out,
		servers:     v,
		source:      src,
		drain:       o.Settings.Limits.DrainTimeout.Std(),
	}
}

func runNode(lc fx.Lifecycle, s *stopper) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return s.start() },
		OnStop:  s.stop,
	})
}

func (s *stopper) start() error {
	publishMetrics(s.source)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.outside.run(ctx, s.performer.Apply)
	go s.tick(ctx)
	for _, v := range []*server{s.servers.admin, s.servers.local, s.servers.caller} {
		if err := v.start(); err != nil {
			cancel()
			return err
		}
	}
	return nil
}

func (s *stopper) tick(ctx context.Context) {
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

// kill makes the stop that follows a crash.
func (s *stopper) kill() {
	s.killed.Store(true)
	s.cancel()
	for _, v := range []*server{s.servers.caller, s.servers.local, s.servers.admin} {
		v.kill()
	}
}

func (s *stopper) stop(ctx context.Context) error {
	defer s.cancel()
	defer withdrawMetrics(s.source.id)
	if s.killed.Load() {
		now, cancel := context.WithCancel(ctx)
		cancel()
		_ = s.transporter.Close(now)
		return nil
	}
	drain, cancel := context.WithTimeout(ctx, s.drain)
	defer cancel()
	s.performer.Apply(&reducer.NodeLeaving{Wall: s.clock.Wall()})
	// Callers may go on until the listener closes; their connections end with the answers under way.
	callers := s.servers.caller.stop(drain)
	if callers != nil {
		s.logger.Warn("drain timeout passed", "error", callers)
	}
	s.awaitIdle(drain)
	_ = s.servers.local.stop(drain)
	err := s.transporter.Close(drain)
	_ = s.servers.admin.stop(ctx)
	s.logger.Info("node stopped")
	return err
}

func (s *stopper) awaitIdle(ctx context.Context) {
	t := time.NewTicker(idlePoll)
	defer t.Stop()
	for {
		idle := false
		s.performer.View(func(now clock.Time) { idle = s.state.Idle(now) })
		if idle {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
