// Latency rises for two reasons that ask for opposite answers. If the VM is past its knee, fewer calls at once
// give as many answers, sooner. If a deeper service is slow, fewer calls at once give fewer answers, and a
// law that follows latency would shrink a healthy service to a fraction just when slots are scarce. One
// notices the second as goodput that falls by more than the slow service explains. So a rise only raises a
// suspicion, and a short trial with a quarter less decides.
//
// Example: 100 slots, latency up from 50 to 250 ms. A trial at 75 gives 75% of the throughput: back to 100, and
// 250 ms is the new ordinary latency. Had it given 98%, 75 would be kept and the next trial made.

package limiter

import "github.com/jackdawtide/jackdawtide/internal/clock"

type phase uint8

const (
	steady phase = iota
	lower
	higher
)

const (
	// roundCalls and roundTurns times the limit are the fewest answers that a round is judged by.
	roundCalls = 200
	roundTurns = 4
	// roundMost ends a round of a service with long calls; a trial that takes longer costs more than it tells.
	roundMost = 2 * clock.Second
	// fullPart of a round's calls must have seen the limit reached.
	fullPart = 0.9
	// suspicious times the ordinary latency starts a trial.
	suspicious = 1.5
	// lowerPart and higherPart are the limits tried, as parts of the present one.
	lowerPart  = 0.75
	higherPart = 1.25
	// A lower limit is kept if latency falls to enoughFall and throughput stays at enoughKept.
	enoughFall = 0.87
	enoughKept = 0.95
	// A higher limit is kept if throughput rises to enoughGain.
	enoughGain = 1.05
	// firstPause and longestPause are between trials that change nothing.
	firstPause   = clock.Second
	longestPause = 30 * clock.Second
	// easeUp is by how much the limit rises in a round that does not reach it.
	easeUp = 1.1
	// quietWeight is the weight of one call at low concurrency in the ordinary latency.
	quietWeight = 1.0 / 64
)

// round sums up the answers since it began.
type round struct {
	began              clock.Time
	count, full, total float64
}

func (r round) latency() float64 {
	return r.total / max(1, r.count)
}

func (r round) throughput(now clock.Time) float64 {
	return r.count / float64(max(1, now.Sub(r.began)))
}

// knee is KneeLaw.
type knee struct {
	slots, current float64
	phase          phase
	// ordinary is the latency without suspicion; zero while unknown.
	ordinary, learned float64
	hinted            bool
	round             round
	// settling is how many answers to skip: they ran under the limit before.
	settling float64
	// latency, throughput and limit as they were before the trial.
	latencyBefore, throughputBefore, limitBefore float64
	next                                         clock.Time
	pause                                        clock.Duration
}

func newKnee(slots float64) *knee {
	return &knee{slots: slots, current: slots, pause: firstPause}
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

// suspect lets the next full round start a trial; a backend server that lies about its load gains or costs no
// more than that, and the pause between trials bounds it.
func (k *knee) suspect() {
	k.hinted = true
}

func (k *knee) finished(s sample, now clock.Time) {
	if s.quiet || k.learned < roundCalls && !s.full {
		k.learn(s.latency)
	}
	if k.settling > 0 {
		k.settling--
		k.round = round{began: now}
		return
	}
	k.round.count++
	k.round.total += s.latency
	if s.full {
		k.round.full++
	}
	if k.round.count >= max(roundCalls, roundTurns*k.current) {
		k.endRound(now)
	}
}

func (k *knee) learn(latency float64) {
	k.learned++
	weight := max(quietWeight, 1/k.learned)
	k.ordinary += weight * (latency - k.ordinary)
}

func (k *knee) tick(now clock.Time) {
	if now.Sub(k.round.began) < roundMost {
		return
	}
	if k.phase != steady {
		k.revert(now)
	}
	k.startRound(now)
}

func (k *knee) startRound(now clock.Time) {
	k.round = round{began: now}
}

func (k *knee) endRound(now clock.Time) {
	full := k.round.full >= fullPart*k.round.count
	switch {
	case k.phase == steady && full:
		k.considerTrial(now)
	case k.phase == steady:
		k.current = min(k.slots, k.current*easeUp)
	case !full:
		k.revert(now)
	case k.phase == lower:
		k.judgeLower(now)
	case k.phase == higher:
		k.judgeHigher(now)
	}
	k.startRound(now)
}

func (k *knee) considerTrial(now clock.Time) {
	latency := k.round.latency()
	if k.ordinary > 0 && latency < k.ordinary {
		k.ordinary = latency
	}
	if now < k.next {
		return
	}
	doubt := k.ordinary == 0 || latency > suspicious*k.ordinary || k.hinted
	switch {
	case doubt && k.current > 1:
		k.try(lower, lowerPart, now)
	case k.current < k.slots:
		k.try(higher, higherPart, now)
	}
}

func (k *knee) try(p phase, part float64, now clock.Time) {
	k.hinted = false
	k.phase = p
	k.latencyBefore = k.round.latency()
	k.throughputBefore = k.round.throughput(now)
	k.limitBefore = k.current
	k.setLimit(k.current * part)
}

func (k *knee) setLimit(limit float64) {
	k.settling = max(k.current, limit)
	k.current = min(k.slots, max(1, limit))
}

func (k *knee) judgeLower(now clock.Time) {
	fell := k.round.latency() <= enoughFall*k.latencyBefore
	kept := k.round.throughput(now) >= enoughKept*k.throughputBefore
	if fell && kept {
		k.keep(now)
		return
	}
	k.ordinary = k.latencyBefore
	k.revert(now)
}

func (k *knee) judgeHigher(now clock.Time) {
	if k.round.throughput(now) >= enoughGain*k.throughputBefore {
		k.keep(now)
		return
	}
	k.ordinary = k.latencyBefore
	k.revert(now)
}

func (k *knee) keep(now clock.Time) {
	k.phase = steady
	k.pause = firstPause
	k.next = now
}

func (k *knee) revert(now clock.Time) {
	k.phase = steady
	k.setLimit(k.limitBefore)
	k.next = now.Add(k.pause)
	k.pause = min(longestPause, 2*k.pause)
}
