package mesher

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
)

// Guards against requests that are decided by an older configuration although its successor is just being read, and against
// requests that wait while the store is lost.
func TestRequestsWaitForAProofThatCanCome(t *testing.T) {
	const within = clock.Second
	tests := map[string]struct {
		age   clock.Duration
		event func(n *node)
		min   time.Duration
		max   time.Duration
	}{
		"young proof": {age: 0, max: 20 * time.Millisecond},
		"proof comes": {age: 2 * within, event: func(n *node) {
			n.relayer.ApplyEvent(conductor.ConfigurationProved{Version: 1, AsOf: clock.Boot{}.Now()})
			n.confirmation.notify()
		}, min: 50 * time.Millisecond, max: 200 * time.Millisecond},
		"store is lost meanwhile": {age: 2 * within, event: func(n *node) { n.confirmation.setStoreLost(true) }, min: 50 * time.Millisecond, max: 200 * time.Millisecond},
		"older proof comes":       {age: 2 * within, event: func(n *node) { n.confirmation.notify() }, min: confirmTimeout.Std(), max: time.Second},
		"nothing comes":           {age: 2 * within, min: confirmTimeout.Std(), max: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clock.New()
			k := conductor.New(conductor.Options{
				Bounds: conductor.Bounds{RevokeWithin: 5 * within, ApplyWithin: within}, Random: rand.New(rand.NewPCG(1, 2)),
			}, c.Now())
			n := newNode(Options{Settings: loader.Sidecar{Descriptors: 100}}, c, k, recorder.New(io.Discard, "a", c.Now))
			m, err := matcher.New(matcher.Configuration{Version: 1})
			assert.NilError(t, err)
			n.relayer.ApplyEvent(conductor.ConfigurationRead{Matcher: m})
			n.relayer.ApplyEvent(conductor.ConfigurationProved{Version: 1, AsOf: clock.Boot{}.Now().Add(-test.age)})
			began := time.Now()
			if test.event != nil {
				time.AfterFunc(50*time.Millisecond, func() { test.event(n) })
			}
			n.confirmConfiguration(context.Background())
			took := time.Since(began)
			assert.Assert(t, took >= test.min && took <= test.max, "%s", took)
		})
	}
}

// Guards against a configuration that is late at a node whose collector fails and whose first read of the store gets no answer: a
// second read must fit into the time.
func TestReadWithoutAnswerLeavesTimeForAnother(t *testing.T) {
	const within, roundTrip = 2 * clock.Second, 10 * clock.Millisecond
	proved, now := clock.Time(50_000), clock.Time(10_000)
	k := conductor.New(conductor.Options{
		Bounds: conductor.Bounds{RevokeWithin: 5 * clock.Second, ApplyWithin: within}, Random: rand.New(rand.NewPCG(1, 2)),
	}, now)
	m, err := matcher.New(matcher.Configuration{Version: 1})
	assert.NilError(t, err)
	collector := exchanger.Member{Node: "a", Service: "portal"}
	k.Apply(conductor.ConfigurationRead{Matcher: m}, now)
	k.Apply(conductor.MemberLearned{Member: collector}, now)
	age := clock.Duration(0)
	for relayed := true; relayed; age += 10 {
		k.Apply(conductor.PeerAnswered{Node: "a", Answer: exchanger.Answer{Reports: []exchanger.Report{
			{Member: collector, Number: int64(age) + 1},
		}}}, now.Add(age))
		k.Apply(conductor.ProofReceived{From: "a", Version: 1, AsOf: proved}, now.Add(age))
		_, relayed = k.ConfigurationSource(now.Add(age), proved.Add(age))
		assert.Assert(t, age < within, "no read of the store at all")
	}
	assert.Assert(t, age >= within/2, "a read of the store %d ms after the proof", age)
	assert.Assert(t, age+maxFirstStoreLateness+2*roundTrip < within, "relies on a proof for %d ms", age)
}
