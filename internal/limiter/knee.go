// Latency rises for two reasons that require opposite reactions. If the VM is past the knee of its latency curve, a
// lower concurrency limit gives the same throughput at a lower latency. If a deeper service is slow, a lower limit
// reduces throughput, and a control law that only follows latency would shrink a healthy service when slots are scarce:
// goodput would fall by more than the slow service causes. So a rise in latency only raises a suspicion, which a short
// trial with a quarter less concurrency confirms or refutes.
//
// Example: 100 slots, latency up from 50 to 250 ms. A trial at 75 gives 75% of the throughput: back to 100, and 250 ms
// is the new baseline latency. Had it given 98% at a lower latency, 75 would be kept.

package limiter

import "github.com/jackdawtide/jackdawtide/internal/clock"

type phase uint8

const (
	steady phase = iota
	tryingLower
	tryingHigher
)

const (
	// A round is evaluated after minRoundCalls answers, or after minRoundCallsPerLimit times the limit if that is more.
	minRoundCalls         = 200
	minRoundCallsPerLimit = 4
	// maxRound ends a round of a service with long calls; a longer trial would cost more than its result is worth.
	maxRound = 2 * clock.Second
	// fullFraction is the fraction of a round's calls that must have seen the limit reached.
	fullFraction = 0.9
	// suspicionLatencyRatio is the ratio of latency to baseline latency above which a trial of a lower limit starts.
	suspicionLatencyRatio = 1.5
	// lowerTrialFactor and higherTrialFactor times the present limit are the limits tried.
	lowerTrialFactor  = 0.75
	higherTrialFactor = 1.25
	// A lower limit is kept if its latency is at most maxLatencyRatio and its throughput at least minThroughputRatio of
	// the values before the trial.
	maxLatencyRatio    = 0.87
	minThroughputRatio = 0.95
	// A higher limit is kept if its throughput is at least minThroughputGain times the throughput before the trial.
	minThroughputGain = 1.05
	// The pause after a trial that changes nothing starts at minTrialPause and doubles up to maxTrialPause.
	minTrialPause = clock.Second
	maxTrialPause = 30 * clock.Second
	// unreachedLimitGrowth is the factor by which the limit rises after a round in which it was not reached.
	unreachedLimitGrowth = 1.1
	// baselineWeight is the smoothing weight of one call at low concurrency in the baseline latency.
	baselineWeight = 1.0 / 64
)

// round holds the sums over the answers since it began; full counts the answers that saw the limit reached.
type round struct {
	began                     clock.Time
	answers, full, latencySum float64
}

func (r round) latency() float64 {
	return r.latencySum / max(1, r.answers)
}

func (r round) throughput(now clock.Time) float64 {
	return r.answers / float64(max(1, now.Sub(r.began)))
}

// knee implements KneeLaw.
type knee struct {
	slots, current float64
	phase          phase
	// baselineLatency is the latency that counts as normal, zero while unknown; baselineSamples counts the calls measured
	// for it.
	baselineLatency, baselineSamples float64
	trialRequested                   bool
	round                            round
	// answersToSkip is the number of answers still expected from calls that started under the previous limit.
	answersToSkip float64
	// The latency, throughput and limit before the trial.
	latencyBefore, throughputBefore, limitBefore float64
	nextTrial                                    clock.Time
	pause                                        clock.Duration
}

func newKnee(slots float64) *knee {
	return &knee{slots: slots, current: slots, pause: minTrialPause}
}

func (k *knee) limit() float64 {
	return k.current
}

func (k *knee) setSlots(slots float64) {
	k.current = min(slots, k.current*slots/k.slots)
	k.current = max(1, k.current)
	k.slots = slots
	k.phase = steady
	k.round = round{began: k.round.began}
}

// requestTrial lets the next full round start a trial. A backend server that reports a false load causes no more than a
// trial, and the pause between trials bounds how often.
func (k *knee) requestTrial() {
	k.trialRequested = true
}

func (k *knee) observe(s sample, now clock.Time) {
	if s.underHalf || k.baselineSamples < minRoundCalls && !s.full {
		k.updateBaseline(s.latency)
	}
	if k.answersToSkip > 0 {
		k.answersToSkip--
		k.round = round{began: now}
		return
	}
	k.round.answers++
	k.round.latencySum += s.latency
	if s.full {
		k.round.full++
	}
	if k.round.answers >= max(minRoundCalls, minRoundCallsPerLimit*k.current) {
		k.endRound(now)
	}
}

func (k *knee) updateBaseline(latency float64) {
	k.baselineSamples++
	weight := max(baselineWeight, 1/k.baselineSamples)
	k.baselineLatency += weight * (latency - k.baselineLatency)
}

func (k *knee) tick(now clock.Time) {
	if now.Sub(k.round.began) < maxRound {
		return
	}
	if k.phase != steady {
		k.revertLimit(now)
	}
	k.startRound(now)
}

func (k *knee) startRound(now clock.Time) {
	k.round = round{began: now}
}

func (k *knee) endRound(now clock.Time) {
	full := k.round.full >= fullFraction*k.round.answers
	switch {
	case k.phase == steady && full:
		k.considerTrial(now)
	case k.phase == steady:
		k.current = min(k.slots, k.current*unreachedLimitGrowth)
	case !full:
		k.revertLimit(now)
	case k.phase == tryingLower:
		k.endLowerTrial(now)
	case k.phase == tryingHigher:
		k.endHigherTrial(now)
	}
	k.startRound(now)
}

func (k *knee) considerTrial(now clock.Time) {
	latency := k.round.latency()
	if k.baselineLatency > 0 && latency < k.baselineLatency {
		k.baselineLatency = latency
	}
	if now < k.nextTrial {
		return
	}
	suspicion := k.baselineLatency == 0 || latency > suspicionLatencyRatio*k.baselineLatency || k.trialRequested
	switch {
	case suspicion && k.current > 1:
		k.startTrial(tryingLower, lowerTrialFactor, now)
	case k.current < k.slots:
		k.startTrial(tryingHigher, higherTrialFactor, now)
	}
}

func (k *knee) startTrial(p phase, factor float64, now clock.Time) {
	k.trialRequested = false
	k.phase = p
	k.latencyBefore = k.round.latency()
	k.throughputBefore = k.round.throughput(now)
	k.limitBefore = k.current
	k.setLimit(k.current * factor)
}

func (k *knee) setLimit(limit float64) {
	k.answersToSkip = max(k.current, limit)
	k.current = min(k.slots, max(1, limit))
}

func (k *knee) endLowerTrial(now clock.Time) {
	fell := k.round.latency() <= maxLatencyRatio*k.latencyBefore
	kept := k.round.throughput(now) >= minThroughputRatio*k.throughputBefore
	if fell && kept {
		k.keepLimit(now)
		return
	}
	k.baselineLatency = k.latencyBefore
	k.revertLimit(now)
}

func (k *knee) endHigherTrial(now clock.Time) {
	if k.round.throughput(now) >= minThroughputGain*k.throughputBefore {
		k.keepLimit(now)
		return
	}
	k.baselineLatency = k.latencyBefore
	k.revertLimit(now)
}

func (k *knee) keepLimit(now clock.Time) {
	k.phase = steady
	k.pause = minTrialPause
	k.nextTrial = now
}

func (k *knee) revertLimit(now clock.Time) {
	k.phase = steady
	k.setLimit(k.limitBefore)
	k.nextTrial = now.Add(k.pause)
	k.pause = min(maxTrialPause, 2*k.pause)
}
