package limiter

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// requestChain is a request that makes calls in sequence and succeeds only if all of them are run in time.
type requestChain struct {
	deadline clock.Time
	left     int
	rank     identifier.Rank
}

// simulateChains sends requests of some calls each to one endpoint, more than it can run, and returns the fraction of
// the requests that complete in time.
func simulateChains(order Order, perSecond float64, calls int, within clock.Duration, ranked bool) float64 {
	const slots, runTime, length = 43, 50, 20000
	l := New(Options{Slots: slots, Law: FixedLaw, Order: order, Queue: 1000}, 0)
	chains := map[CallID]requestChain{}
	ends := map[clock.Time][]CallID{}
	var id CallID
	sent, served, credit := 0, 0, 0.0
	var handle func(out []Verdict, now clock.Time)
	offer := func(c requestChain, now clock.Time) {
		id++
		chains[id] = c
		handle(l.Offer(Call{
			ID: id, Rank: c.rank, Deadline: c.deadline, Due: now.Add(300), WaitUntil: now.Add(c.deadline.Sub(now) / 3),
		}, now, nil), now)
	}
	handle = func(out []Verdict, now clock.Time) {
		for _, v := range out {
			switch v.Action {
			case Dispatch:
				ends[now+runTime] = append(ends[now+runTime], v.ID)
			case Shed, Expire:
				delete(chains, v.ID)
			case Queue:
			}
		}
	}
	for now := clock.Time(0); now < length; now++ {
		for _, ended := range ends[now] {
			c := chains[ended]
			delete(chains, ended)
			handle(l.Done(ended, Succeeded, now, nil), now)
			c.left--
			switch {
			case now >= c.deadline:
			case c.left == 0:
				served++
			default:
				offer(c, now)
			}
		}
		delete(ends, now)
		for credit += perSecond / 1000; credit >= 1; credit-- {
			sent++
			c := requestChain{deadline: now.Add(within), left: calls}
			if ranked {
				c.rank = identifier.MakeRank(identifier.Normal, 0, uint64(sent*7919))
			}
			offer(c, now)
		}
		if now%25 == 0 {
			handle(l.Tick(now, nil), now)
		}
	}
	return float64(served) / float64(sent)
}

// A service at the end of call chains gets slightly more calls than it can run, and its queue never empties. If each
// call of a request waits in turn, all requests time out after most of their work is done, and callers see the whole
// product down although its slots are always busy.
func TestChainsCompleteDespiteStandingQueue(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		calls     int
		within    clock.Duration
		least     float64
	}{
		"a tenth too much, short deadline": {perSecond: 236, calls: 4, within: 400, least: 0.80},
		"twice too much, short deadline":   {perSecond: 430, calls: 4, within: 400, least: 0.30},
		"a tenth too much":                 {perSecond: 236, calls: 4, within: 800, least: 0.80},
		"twice too much":                   {perSecond: 430, calls: 4, within: 800, least: 0.30},
		"within capacity":                  {perSecond: 190, calls: 4, within: 800, least: 0.98},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got := simulateChains(DueFirst, c.perSecond, c.calls, c.within, false)
			oldest := simulateChains(RankOldest, c.perSecond, c.calls, c.within, false)
			ranked := simulateChains(DueFirst, c.perSecond, c.calls, c.within, true)
			t.Logf("%.2f served, %.2f oldest first, %.2f by rank", got, oldest, ranked)
			assert.Assert(t, got >= c.least, "%.2f", got)
			assert.Assert(t, ranked >= c.least, "%.2f", ranked)
		})
	}
}
