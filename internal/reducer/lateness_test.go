package reducer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// serveSlowly offers urgent and normal calls, at rates in calls a second, to a node that needs 10 ms of its own time for
// each call that it admits, and returns the ratio of each kind that was admitted.
func (w *simulatedNode) serveSlowly(length clock.Duration, urgent, normal int) (urgentRatio, normalRatio float64) {
	const timePerCall = 10 * clock.Millisecond
	offered, admitted, due := map[string]int{}, map[string]int{}, map[string]int{}
	step := timePerCall
	for end := w.now.Add(length); w.now < end; {
		w.now = w.now.Add(step)
		for _, id := range append(iceEndpoints, boardEndpoints...) {
			w.apply(&BackendReported{Endpoint: id})
		}
		w.apply(&Tick{Wall: w.wall()})
		due["GET"] += urgent * int(step)
		due["POST"] += normal * int(step)
		step = timePerCall
		for _, method := range []string{"POST", "GET"} {
			for ; due[method] >= int(clock.Second); due[method] -= int(clock.Second) {
				offered[method]++
				if w.serve(method) {
					admitted[method]++
					step += timePerCall
				}
			}
		}
	}
	return float64(admitted["GET"]) / float64(offered["GET"]), float64(admitted["POST"]) / float64(offered["POST"])
}

// serve makes one call, answers it if it is forwarded, and reports whether it was.
func (w *simulatedNode) serve(method string) bool {
	before := len(w.forwards)
	w.call(testKey, "ice", method, "", 0)
	if len(w.forwards) == before {
		return false
	}
	f := w.forwards[len(w.forwards)-1]
	w.apply(&AnswerEnded{
		Call: f.Call, Phase: Answered, Relayed: true, Whole: true, Wall: w.wall(), Tail: &Tail{Threshold: identifier.MaxRank},
	})
	return true
}

// Guards against nodes without enough processor time that admit all calls and answer none of them in time.
func TestLateNodeShedsLeastUrgentCalls(t *testing.T) {
	w := newSimulatedNode(t.Fatalf)
	w.serveSlowly(5*clock.Second, 40, 200)
	urgent, normal := w.serveSlowly(10*clock.Second, 40, 200)
	t.Logf("admitted: urgent %.3f, normal %.3f", urgent, normal)
	assert.Check(t, urgent >= 0.95, "urgent calls fit into the node's time")
	assert.Check(t, normal <= 0.4, "the node has time for 60 of 200")
	w.serveSlowly(3*clock.Second, 20, 20)
	urgent, normal = w.serveSlowly(5*clock.Second, 20, 20)
	assert.Check(t, urgent == 1 && normal == 1, "after the overload all calls fit: admitted %.3f and %.3f", urgent, normal)
}

// Guards against calls shed because their node was paused once.
func TestPauseOfNodeShedsNothingForLong(t *testing.T) {
	w := newSimulatedNode(t.Fatalf)
	w.serveSlowly(clock.Second, 20, 20)
	w.now = w.now.Add(9 * clock.Second)
	w.serveSlowly(clock.Second, 20, 20)
	urgent, normal := w.serveSlowly(2*clock.Second, 20, 20)
	assert.Check(t, urgent == 1 && normal == 1, "admitted %.3f and %.3f", urgent, normal)
}
