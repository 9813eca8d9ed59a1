package relayer

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
)

// readPeerStateBefore is readPeerState of the release before, which knows no pace.
func readPeerStateBefore(text string) peerState {
	parts := strings.Fields(text)
	if len(parts) < 2 {
		return peerState{}
	}
	headroom, err := strconv.ParseUint(parts[0], 10, 8)
	if err != nil {
		return peerState{}
	}
	queueDelay, err := strconv.ParseUint(parts[1], 10, 63)
	if err != nil {
		return peerState{}
	}
	s := peerState{headroom: uint8(headroom), queueDelay: clock.Duration(queueDelay)}
	if len(parts) > 2 {
		s.proof = parts[2]
	}
	return s
}

func drawPeerState(t *rapid.T) peerState {
	s := peerState{
		headroom:   rapid.Uint8().Draw(t, "headroom"),
		queueDelay: clock.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "queueDelay")),
		pace:       gauger.Pace(rapid.IntRange(0, 999_999).Draw(t, "pace")),
	}
	if rapid.Bool().Draw(t, "proved") {
		s.proof = fmt.Sprintf("%d,%d", rapid.Int64().Draw(t, "version"), rapid.Int64Range(0, 1<<40).Draw(t, "age"))
	}
	return s
}

// During a release, nodes with and without the pace answer each other. An older node that took the pace for a proof would
// treat its configuration as proved by a node that is not.
func TestPaceBetweenReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawPeerState(t)
		assert.Equal(t, readPeerState(http.Header{stateField: {s.String()}}), s)

		before := readPeerStateBefore(s.String())
		assert.Equal(t, before.headroom, s.headroom)
		assert.Equal(t, before.queueDelay, s.queueDelay)
		if s.proof != "" {
			assert.Equal(t, before.proof, s.proof)
		} else {
			_, proved := proofAt(before.proof, 0)
			assert.Assert(t, !proved, "%q", before.proof)
		}

		old := strings.TrimSpace(fmt.Sprintf("%d %d %s", s.headroom, s.queueDelay, s.proof))
		s.pace = 0
		assert.Equal(t, readPeerState(http.Header{stateField: {old}}), s)
	})
}

func TestUnreadablePaceIsIgnored(t *testing.T) {
	for text, want := range map[string]peerState{
		"1 2 p":          {headroom: 1, queueDelay: 2},
		"1 2 p0":         {headroom: 1, queueDelay: 2},
		"1 2 p1000000":   {headroom: 1, queueDelay: 2},
		"1 2 7,8 p-5":    {headroom: 1, queueDelay: 2, proof: "7,8"},
		"1 2 p18 7,8":    {headroom: 1, queueDelay: 2, proof: "7,8", pace: 18},
		"1 2 7,8 x3 p18": {headroom: 1, queueDelay: 2, proof: "7,8", pace: 18},
	} {
		assert.Equal(t, readPeerState(http.Header{stateField: {text}}), want, text)
	}
}

func FuzzReadPeerState(f *testing.F) {
	for _, text := range []string{"", "245 12 7,800 p180", "245 12 p180", "1 2 p", "1 2 3 4 5", "256 1", "1 2 p1 p2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := readPeerState(http.Header{stateField: {text}})
		assert.Assert(t, s.pace >= 0 && s.pace < 1_000_000 && s.queueDelay >= 0, "%q: %+v", text, s)
		before := readPeerStateBefore(text)
		assert.Assert(t, before.headroom == s.headroom && before.queueDelay == s.queueDelay, "%q", text)
	})
}

func ownPace(n *node) (p gauger.Pace) {
	n.View(func(c *conductor.Conductor, now clock.Time) { p = c.Dump(now).Pace })
	return p
}

// A sending node that never hears of the pace, or a report that leaves the VM, would go unnoticed otherwise.
func TestPaceReachesSendingNode(t *testing.T) {
	entry, beside, _ := pair(t, configurationOf(matcher.Idempotent, 2), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Load, "3,0,4,250")
	})
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, got.Header.Get(names.Load), "")
	assert.Equal(t, ownPace(beside), gauger.Pace(250))
	slow := 0
	entry.View(func(c *conductor.Conductor, now clock.Time) { slow = c.Dump(now).SlowOthers })
	assert.Equal(t, slow, 1)
}

// An endpoint that writes its reports wrongly would fill the log, and a report read as zero would make it look idle.
func TestInvalidLoadIsCountedAndLoggedOnce(t *testing.T) {
	var report atomic.Value
	report.Store("busy")
	e := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(names.Load, report.Load().(string)) })
	n := newNode(t, "a", "portal", e)
	out := &lines{}
	n.options.Recorder = recorder.New(out, "a", n.options.Clock.Now)
	n.configure(t, configurationOf(matcher.Idempotent, 2))
	for _, text := range []string{"1,2,4,180", "busy", "1,2,0", "1,2,3,0", "1,2,3"} {
		report.Store(text)
		assert.Equal(t, sendRequest(t, n, nil).StatusCode, 200)
		assert.Equal(t, ownPace(n), gauger.Pace(180), text)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if out.count("load report not read") > 0 {
			return poll.Success()
		}
		return poll.Continue("no line yet")
	})
	assert.Equal(t, out.count("load report not read"), 1)
	var metrics bytes.Buffer
	n.options.Recorder.WriteMetrics(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `invalid_load_reports_total{dependency="endpoint"} 3`), metrics.String())
}

// The node asks a restarted endpoint for its health anyway; its pace must not wait for the first call.
func TestHealthAnswerTellsPace(t *testing.T) {
	e := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(names.Load, "0,0,4,170") })
	checked, err := newNode(t, "a", "portal", e).requestHealth("/health")
	assert.NilError(t, err)
	assert.Equal(t, checked.Pace, gauger.Pace(170))
}

// An answer whose body ends later than MaxPassedPaceAge after its header must teach the pace and have its run time converted:
// other nodes multiply the run time by the pace, and a slow VM that sends large answers would count as slow twice.
func TestPaceOfSlowBodyIsLearnedWithHeader(t *testing.T) {
	const run = 100 * time.Millisecond
	paused, resume := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(resume) })
	e := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(run)
		w.Header().Set(names.Load, "3,0,4,250")
		w.WriteHeader(http.StatusOK)
		assert.Check(t, http.NewResponseController(w).Flush())
		close(paused)
		<-resume
	})
	// The endpoint's server waits for its requests when it is closed, also after a failure.
	t.Cleanup(release)
	n := newNode(t, "a", "portal", e)
	n.configure(t, configurationOf(matcher.Idempotent, 2))
	done := make(chan struct{})
	started := time.Now()
	go func() {
		defer close(done)
		sendRequest(t, n, nil)
	}()
	<-paused
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ownPace(n) == 250 {
			return poll.Success()
		}
		return poll.Continue("pace not learned")
	}, poll.WithTimeout(time.Second))
	time.Sleep(2 * time.Duration(conductor.MaxPassedPaceAge) * time.Millisecond)
	release()
	<-done
	took := clock.Duration(time.Since(started).Milliseconds())
	var reported clock.Duration
	n.View(func(c *conductor.Conductor, now clock.Time) { reported = c.Report(now).RootTime })
	assert.Assert(t, reported > 0 && reported <= took*100/250+1, "%d ms reported for a run of up to %d", reported, took)
}

// A low pace that is passed on as it is would not fit the calibrated run times, whether the sending node is the one
// beside the endpoint or another.
func TestPassedPaceIsCalibrated(t *testing.T) {
	entry, beside, _ := pair(t, configurationOf(matcher.Idempotent, 2), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Load, "3,0,4,25")
	})
	assert.Equal(t, sendRequest(t, entry, nil).StatusCode, 200)
	assert.Equal(t, ownPace(beside), gauger.Pace(25))
	response := httptest.NewRecorder()
	beside.setState(response.Header())
	assert.Equal(t, readPeerState(response.Header()).pace, gauger.UsualPace)
}
