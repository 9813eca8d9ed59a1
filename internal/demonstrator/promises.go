// One function checks each promise, from the audit alone, so that a test can break each promise and see its check fail.
// A promise whose case did not arise counts as not held: a demo without an overload shows nothing about overload.
//
// Example: a POST whose id was started twice breaks atMostOnce, with "1 of 240 ids ran twice" as the evidence.

package demonstrator

import (
	"fmt"
	"strings"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

const (
	// maxChangeDelay bounds the time in which a change that is promised "within seconds" must take effect.
	maxChangeDelay = 2 * time.Second
	// minUrgentRatio is the ratio of urgent requests that must not fail from the overload.
	minUrgentRatio = 0.9
	// minShedRatio is the ratio of low-priority requests that must be shed; with fewer the fleet was not overloaded.
	minShedRatio = 0.2
	// ratioTolerance is how much lower the ratio of a more important class may be than that of a less important one,
	// since requests of a class fail partly by chance.
	ratioTolerance = 0.03
	// minRecoveredRatio is the ratio of the goodput before the overload that must be reached again after it.
	minRecoveredRatio = 0.95
)

// Promise is one promise and whether it held.
type Promise struct {
	Name     string `json:"name"`
	Text     string `json:"text"`
	Held     bool   `json:"held"`
	Evidence string `json:"evidence"`
}

type check struct {
	name, text string
	judge      func(*audit) (held bool, evidence string)
}

var checks = []check{
	{"nothingLost", "Every request is answered or refused; none is lost or cut short.", judgeLost},
	{"wholeAnswers", "Every caller gets the whole answer to its own request.", judgeComplete},
	{"urgentLast", "Under overload the most important requests are shed last.", judgeUrgent},
	{"rateHeld", "No team receives more than its rate and burst, over all VMs together.", judgeRate},
	{"notRun", "A refusal that says \"not run\" is true.", judgeNotRun},
	{"atMostOnce", "A non-idempotent request runs at most once, and a retry gets the first outcome.", judgeOnce},
	{"retriesBounded", "Retries of a request stay within its allowance.", judgeRetries},
	{"keyUnseen", "No backend server ever sees a key.", judgeKey},
	{"keyWithdrawn", "A withdrawn key stops working within seconds.", judgeWithdrawn},
	{"inForce", "An accepted configuration is in force everywhere within seconds and never reverts.", judgeInForce},
	{"drained", "A backend server that is leaving receives no new work after a few seconds.", judgeDrained},
	{"plannedStop", "An upload through a planned stop finishes.", judgeUpload},
	{"deadlines", "No caller waits past its deadline.", judgeDeadlines},
	{"recovered", "Goodput is back soon after the overload.", judgeRecovered},
}

func judgeAll(a *audit) []Promise {
	promises := make([]Promise, 0, len(checks))
	for _, c := range checks {
		held, evidence := c.judge(a)
		promises = append(promises, Promise{Name: c.name, Text: c.text, Held: held, Evidence: evidence})
	}
	return promises
}

func judgeLost(a *audit) (bool, string) {
	lost, example := 0, ""
	for _, o := range a.outcomes {
		if o.failure != "" || !o.answered() && !o.refused() {
			lost++
			example = fmt.Sprintf(", such as %s %s: status %d %s", o.request.method, o.request.path, o.status, o.failure)
		}
	}
	return lost == 0 && len(a.outcomes) > 0, fmt.Sprintf("%d of %d requests without an answer or a refusal%s", lost, len(a.outcomes), example)
}

func judgeComplete(a *audit) (bool, string) {
	wrong, answers := 0, 0
	for _, o := range a.outcomes {
		if !o.answered() || o.replayed {
			continue
		}
		answers++
		if !o.isComplete() {
			wrong++
		}
	}
	return wrong == 0 && answers > 0, fmt.Sprintf("%d of %d answers were not whole or not the caller's own", wrong, answers)
}

// isComplete compares the answer with the request: its service, path, size and id, and each nested service's answer.
func (o *outcome) isComplete() bool {
	want := fmt.Sprintf("%s %s %s got %d bytes for %s", o.request.service, o.request.method, o.request.path, o.size, o.requestID)
	if !strings.HasPrefix(o.text, want) {
		return false
	}
	for _, s := range o.request.chain {
		if !strings.Contains(o.text, "["+s+" ") {
			return false
		}
	}
	return strings.HasSuffix(o.text, strings.Repeat("]", len(o.request.chain)))
}

// judgeUrgent skips the team over its rate and the one whose key is withdrawn: they are refused for other reasons.
func judgeUrgent(a *audit) (bool, string) {
	var sent, unaffected, shed [4]float64
	for _, o := range a.outcomes {
		if o.phase != overload || o.team == a.flooding || o.team == a.withdrawn {
			continue
		}
		sent[o.class]++
		if !o.failedFromOverload() {
			unaffected[o.class]++
		}
		if o.reason == string(reducer.Shed) {
			shed[o.class]++
		}
	}
	held := sent[identifier.Low] > 0 && shed[identifier.Low] >= minShedRatio*sent[identifier.Low]
	var parts []string
	minRatio := 1.0
	for _, p := range identifier.Priorities {
		if sent[p] == 0 {
			continue
		}
		ratio := unaffected[p] / sent[p]
		parts = append(parts, fmt.Sprintf("%s %.1f%%", p, 100*ratio))
		held = held && ratio <= minRatio+ratioTolerance
		minRatio = min(minRatio, ratio)
	}
	held = held && unaffected[identifier.Urgent] >= minUrgentRatio*sent[identifier.Urgent] && sent[identifier.Urgent] > 0
	return held, "not shed under overload: " + strings.Join(parts, ", ")
}

// failedFromOverload reports whether a request failed because of the load, and not for a reason such as an idempotency
// id that is still in use.
func (o *outcome) failedFromOverload() bool {
	switch reducer.Reason(o.reason) {
	case reducer.Shed, reducer.RateUnavailable, reducer.DeadlinePassed, reducer.NoBackend, reducer.Unreachable, reducer.LostAnswer, reducer.TooManyInFlight, backendError:
		return true
	default:
		return o.failure != ""
	}
}

func judgeRate(a *audit) (bool, string) {
	ran := make(map[identifier.Team]int)
	counted := make(map[string]bool)
	for _, o := range a.outcomes {
		if a.runs[o.id] > 0 && !counted[o.id] {
			counted[o.id] = true
			ran[o.team]++
		}
	}
	held := ran[a.flooding] > 0
	for t, n := range ran {
		held = held && float64(n) <= a.maxCalls(t)
	}
	return held, fmt.Sprintf("%s, who asked for more: %d ran, at most %.0f were bought", a.flooding, ran[a.flooding], a.maxCalls(a.flooding))
}

func (a *audit) maxCalls(t identifier.Team) float64 {
	l := a.limits[t]
	return l.burst + l.rate*a.duration.Seconds()
}

func judgeNotRun(a *audit) (bool, string) {
	notRunCount, wrong := 0, 0
	// mayHaveRun holds the ids of which at least one outcome doesn't say "not run".
	mayHaveRun := make(map[string]bool)
	for _, o := range a.outcomes {
		if !o.refused() || !o.notRun {
			mayHaveRun[o.id] = true
		}
	}
	for _, o := range a.outcomes {
		if !o.refused() || !o.notRun || mayHaveRun[o.id] {
			continue
		}
		notRunCount++
		if a.runs[o.id] > 0 {
			wrong++
		}
	}
	return wrong == 0 && notRunCount > 0, fmt.Sprintf("%d of %d requests refused as not run had run", wrong, notRunCount)
}

func judgeOnce(a *audit) (bool, string) {
	ids, twice, replays, differing, example := 0, 0, 0, 0, ""
	previous := make(map[string]string)
	for _, o := range a.outcomes {
		if o.idempotent {
			continue
		}
		if !o.duplicate {
			ids++
			if a.runs[o.id] > 1 {
				twice++
				example = fmt.Sprintf(", such as %s sent at %d ms", o.id, o.sent.Milliseconds())
			}
		}
		if !o.answered() {
			continue
		}
		if text, ok := previous[o.id]; ok {
			replays++
			if text != o.text {
				differing++
			}
		}
		previous[o.id] = o.text
	}
	held := ids > 0 && replays > 0 && twice == 0 && differing == 0
	return held, fmt.Sprintf("%d of %d ids ran twice; %d of %d answers to a retry differed from the first%s", twice, ids, differing, replays, example)
}

func judgeRetries(a *audit) (bool, string) {
	maxRuns := 0
	for _, n := range a.runs {
		maxRuns = max(maxRuns, n)
	}
	return maxRuns > 0 && maxRuns <= 1+a.retryAllowance, fmt.Sprintf("the most often that one request was started is %d, its allowance is %d retries", maxRuns, a.retryAllowance)
}
