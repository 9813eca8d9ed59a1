// Checks of the promises about changes to a running fleet: keys, presets, planned stops, and recovery from an overload.

package demonstrator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

func judgeKey(a *audit) (bool, string) {
	return len(a.keySeen) == 0, fmt.Sprintf("%d backend servers saw a key", len(a.keySeen))
}

func judgeWithdrawn(a *audit) (bool, string) {
	before, late, refused := 0, 0, 0
	var last time.Duration
	for _, o := range a.outcomes {
		switch {
		case o.team != a.withdrawn:
		case o.reason == string(reducer.UnknownKey):
			refused++
		case o.answered() && o.sent < a.withdrawnAt:
			before++
		case o.answered():
			last = max(last, o.sent-a.withdrawnAt)
		}
	}
	for _, o := range a.outcomes {
		if o.team == a.withdrawn && o.sent > a.withdrawnAt+maxChangeDelay && o.reason != string(reducer.UnknownKey) {
			late++
		}
	}
	held := before > 0 && refused > 0 && late == 0
	return held, fmt.Sprintf("last use %d ms after the withdrawal; %d requests refused since", last.Milliseconds(), refused)
}

func judgeInForce(a *audit) (bool, string) {
	newest := make(map[string]identifier.Version)
	reverted := 0
	slowest := time.Duration(0)
	reached := make(map[string]int)
	slices.SortStableFunc(a.versionSamples, func(x, y versionSample) int { return int(x.at - y.at) })
	for _, s := range a.versionSamples {
		if s.version < newest[s.node] {
			reverted++
		}
		newest[s.node] = max(newest[s.node], s.version)
		if n := reached[s.node]; n < len(a.switches) && s.version >= a.switches[n].version {
			slowest = max(slowest, s.at-a.switches[n].at)
			reached[s.node]++
		}
	}
	lagging := 0
	for node := range newest {
		if reached[node] < a.expectedSwitches(node) {
			lagging++
		}
	}
	held := len(newest) > 0 && len(a.switches) > 0 && lagging == 0 && reverted == 0 && slowest <= maxChangeDelay
	return held, fmt.Sprintf("%d switches at %d nodes, the slowest after %d ms; %d nodes lag, %d reverted",
		len(a.switches), len(newest), slowest.Milliseconds(), lagging, reverted)
}

func (a *audit) expectedSwitches(node string) int {
	n := 0
	for _, c := range a.switches {
		if node != a.stopped || c.at+maxChangeDelay < a.stoppedAt {
			n++
		}
	}
	return n
}

func judgeDrained(a *audit) (bool, string) {
	d := a.drain
	held := d.failure == "" && d.before > 0 && d.end == d.settled
	return held, fmt.Sprintf("%d calls before, %d later than %s after leaving %s", d.before, d.end-d.settled, drainSettleTime, d.failure)
}

func judgeUpload(a *audit) (bool, string) {
	u := a.upload
	complete := strings.Contains(u.text, fmt.Sprintf("got %d bytes", u.size))
	held := u.failure == "" && u.stopFailure == "" && u.status == 200 && complete && u.stoppedAfter >= u.answeredAfter
	return held, fmt.Sprintf("status %d, answered after %d ms, its node stopped after %d ms %s%s",
		u.status, u.answeredAfter.Milliseconds(), u.stoppedAfter.Milliseconds(), u.failure, u.stopFailure)
}

func judgeDeadlines(a *audit) (bool, string) {
	late, worst := 0, time.Duration(0)
	for _, o := range a.outcomes {
		over := o.ended - o.sent - o.deadline
		worst = max(worst, over)
		if over > answerSlack {
			late++
		}
	}
	return late == 0 && len(a.outcomes) > 0, fmt.Sprintf("%d requests ended more than %s after their deadline, the worst %d ms after it", late, answerSlack, worst.Milliseconds())
}

func judgeRecovered(a *audit) (bool, string) {
	before, after := a.goodputRatio(steady), a.goodputRatio(recovered)
	return before > 0 && after >= minRecoveredRatio*before, fmt.Sprintf("answered %.1f%% before and %.1f%% after", 100*before, 100*after)
}

// goodputRatio is the ratio of requests answered, of teams that keep to their rate.
func (a *audit) goodputRatio(p phase) float64 {
	sent, answered := 0, 0
	for _, o := range a.outcomes {
		if o.phase != p || o.team == a.flooding || o.team == a.withdrawn || o.duplicate {
			continue
		}
		sent++
		if o.answered() {
			answered++
		}
	}
	if sent == 0 {
		return 0
	}
	return float64(answered) / float64(sent)
}
