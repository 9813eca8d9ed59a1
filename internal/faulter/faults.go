// The faults are those that operators meet. Switches of the stand-ins inject them, so they never depend on chance. Most
// faults also change the configuration, since an error in its propagation would show during a fault.
//
// Example: domainCut partitions alfa for four seconds, switches the preset meanwhile, and heals the partition.

package faulter

import (
	"context"
	"errors"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

const (
	faultDuration = 4 * time.Second
	// changeTimeout bounds the time for a change to come into force; a later one fails the run.
	changeTimeout = 10 * time.Second
	// longPause is longer than every lease except the lease on the log.
	longPause = 9 * time.Second
)

// switchPreset switches the preset and measures the time until it is in force at every reachable node.
func (r *run) switchPreset(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	v, err := r.fleet.Publisher.Load(ctx)
	if err != nil {
		return err
	}
	version, err := r.fleet.Publisher.Switch(ctx, v, changedPreset, v.Base(publisher.InForce))
	if err != nil {
		return err
	}
	accepted := time.Now()
	d, ok := r.watcher.awaitVersion(ctx, version, accepted)
	if !ok {
		return NotInForceError{Version: version, After: time.Since(accepted)}
	}
	r.figures.ConfigInForceMs = milliseconds(d)
	return nil
}

func milliseconds(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}

func healthy(ctx context.Context, r *run) error { return r.switchPreset(ctx) }

func (r *run) setLogSwitches(set func(*logkeeper.Switches)) {
	s := r.fleet.Keeper.Switches()
	set(&s)
	r.fleet.Keeper.Set(s)
}

func logOutage(ctx context.Context, r *run) error {
	r.setLogSwitches(func(s *logkeeper.Switches) { s.Outage = true })
	clock.Sleep(ctx, faultDuration)
	r.setLogSwitches(func(s *logkeeper.Switches) { s.Outage = false })
	return r.switchPreset(ctx)
}

func lostAppendAnswers(ctx context.Context, r *run) error {
	const lost = 20
	r.setLogSwitches(func(s *logkeeper.Switches) { s.LostAnswers = lost })
	// The append of the operator's change is among those whose answers are lost.
	return r.switchPreset(ctx)
}

func domainCut(ctx context.Context, r *run) error {
	r.setPartitioned(domains[0], true)
	began := time.Now()
	if err := r.switchPreset(ctx); err != nil {
		return err
	}
	clock.SleepUntil(ctx, began.Add(faultDuration))
	r.setPartitioned(domains[0], false)
	return nil
}

func nodePaused(ctx context.Context, r *run) error {
	paused := r.pause(r.memberWithMostClaims())
	err := r.switchPreset(ctx)
	<-paused
	return err
}

func holderCrash(ctx context.Context, r *run) error {
	const replaceAfter = 2 * time.Second
	i := r.memberWithMostClaims()
	r.killNode(i)
	if err := r.switchPreset(ctx); err != nil {
		return err
	}
	clock.Sleep(ctx, replaceAfter)
	return r.startNode(ctx, i)
}

// rollingRestart replaces every VM in turn, as a careful upgrade does: it proceeds only when each claim has a holder
// again.
func rollingRestart(ctx context.Context, r *run) error { return r.restartAll(ctx, r.fleet.AwaitReady) }

// hastyRestart replaces the next VM as soon as the one before it listens.
func hastyRestart(ctx context.Context, r *run) error {
	return r.restartAll(ctx, func(context.Context) error { return nil })
}

// restartAll drains each VM's backend server and stops its node, then starts new processes at the same addresses.
func (r *run) restartAll(ctx context.Context, awaitNext func(context.Context) error) error {
	var longest time.Duration
	for i := range r.fleet.Members {
		d, err := r.restart(ctx, i)
		if err != nil {
			return err
		}
		longest = max(longest, d)
		if err := awaitNext(ctx); err != nil {
			return err
		}
		if i > 0 {
			continue
		}
		if err := r.switchPreset(ctx); err != nil {
			return err
		}
	}
	r.figures.DrainStopMs = milliseconds(longest)
	return nil
}

func (r *run) restart(ctx context.Context, i int) (time.Duration, error) {
	if err := r.fleet.Members[i].Backend.Leave(ctx); err != nil {
		return 0, err
	}
	d, err := r.stopNode(ctx, i)
	if err != nil {
		return 0, err
	}
	if err := r.startNode(ctx, i); err != nil {
		return 0, err
	}
	return d, r.startBackend(ctx, i)
}

// operatorRace lets two operators who have read the same version make conflicting changes concurrently.
func operatorRace(ctx context.Context, r *run) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	v, err := r.fleet.Publisher.Load(ctx)
	if err != nil {
		return err
	}
	base := v.Base(publisher.InForce)
	type outcome struct {
		version identifier.Version
		err     error
	}
	outcomes := make(chan outcome, 2)
	for _, name := range []identifier.Preset{usualPreset, changedPreset} {
		own, err := r.fleet.Publisher.Load(ctx)
		if err != nil {
			return err
		}
		go func() {
			version, err := r.fleet.Publisher.Switch(ctx, own, name, base)
			outcomes <- outcome{version, err}
		}()
	}
	var winners, losers int
	var accepted identifier.Version
	for range 2 {
		o := <-outcomes
		var c configurer.Conflict
		switch {
		case o.err == nil:
			winners++
			accepted = o.version
		case errors.As(o.err, &c):
			losers++
		default:
			return o.err
		}
	}
	if winners != 1 || losers != 1 {
		return RaceError{Winners: winners, Losers: losers}
	}
	since := time.Now()
	d, ok := r.watcher.awaitVersion(ctx, accepted, since)
	if !ok {
		return NotInForceError{Version: accepted, After: time.Since(since)}
	}
	r.figures.ConfigInForceMs = milliseconds(d)
	return nil
}

// keyWithdrawn withdraws a team's key while its calls arrive over open connections.
func keyWithdrawn(ctx context.Context, r *run) error {
	if err := r.fleet.Withdraw(ctx, r.fleet.Keys[withinRateTeam]); err != nil {
		return err
	}
	accepted := time.Now()
	clock.Sleep(ctx, faultDuration)
	r.figures.WithdrawnKeyMs = milliseconds(r.lastStartAfter(accepted, func(int) bool { return true }, withinRateTeam))
	return nil
}

// backendLeaving drains a backend server that keeps listening, so that calls sent to it after the drain are recorded.
func backendLeaving(ctx context.Context, r *run) error {
	busiest := r.busiestMember()
	began := time.Now()
	if err := r.fleet.Members[busiest].Backend.Drain(ctx); err != nil {
		return err
	}
	clock.Sleep(ctx, faultDuration)
	r.figures.LastNewCallMs = milliseconds(r.lastStartAfter(began, func(i int) bool { return i == busiest }, ""))
	return nil
}

// backendDead makes a backend server hang: it accepts calls, answers none and stops its heartbeats.
func backendDead(ctx context.Context, r *run) error {
	busiest := r.busiestMember()
	began := time.Now()
	b := r.fleet.Members[busiest].Backend
	b.SetServiceTime(time.Hour)
	b.StopHeartbeats()
	clock.Sleep(ctx, faultDuration)
	r.figures.LastNewCallMs = milliseconds(r.lastStartAfter(began, func(i int) bool { return i == busiest }, ""))
	return nil
}

// lastStartAfter returns the time from since to the last start of a call of the team at the included backend servers;
// an empty team means all teams.
func (r *run) lastStartAfter(since time.Time, include func(i int) bool, team identifier.Team) time.Duration {
	var last time.Duration
	for i, m := range r.fleet.Members {
		if !include(i) {
			continue
		}
		for _, s := range m.Backend.Starts() {
			if team == "" || s.Team == string(team) {
				last = max(last, s.At.Sub(since))
			}
		}
	}
	return last
}

func logOutageAndHolderCrash(ctx context.Context, r *run) error {
	r.setLogSwitches(func(s *logkeeper.Switches) { s.Outage = true })
	i := r.memberWithMostClaims()
	r.killNode(i)
	clock.Sleep(ctx, faultDuration)
	// The replacement starts while the log is down and gets its configuration from its peers.
	if err := r.startNode(ctx, i); err != nil {
		return err
	}
	clock.Sleep(ctx, time.Second)
	r.setLogSwitches(func(s *logkeeper.Switches) { s.Outage = false })
	return r.switchPreset(ctx)
}

func domainCutAndNodePaused(ctx context.Context, r *run) error {
	r.setPartitioned(domains[0], true)
	first := r.pause(1)
	second := r.pause(0)
	began := time.Now()
	if err := r.switchPreset(ctx); err != nil {
		return err
	}
	clock.SleepUntil(ctx, began.Add(faultDuration))
	r.setPartitioned(domains[0], false)
	<-first
	<-second
	return nil
}

// pause suspends a node for longer than its leases while real time passes. Jumping the node's clock instead would let
// its bank refill for a time that passed on no other node.
func (r *run) pause(member int) <-chan struct{} {
	done := make(chan struct{})
	node := r.fleet.Members[member].Node
	go func() {
		defer close(done)
		node.Pause(longPause)
	}()
	return done
}
