package transporter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Many callers share one connection and its streams; some cancel before the answer, some in the middle of it, some are
// slow. If a stream were reused too early, a caller would get the rest of another caller's answer, which it can't tell
// from its own.
func TestAnswersNeverReachAnotherCaller(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: promptEcho}, nil)
	var wait sync.WaitGroup
	for worker := range 8 {
		random := rand.New(rand.NewPCG(uint64(worker), 1))
		wait.Go(func() {
			for i := range 150 {
				exchangeAtRandom(t, a, to, random, fmt.Sprintf("<%d.%d>", worker, i))
			}
		})
	}
	wait.Wait()
	assert.Equal(t, a.Stats().Dials, uint64(1))
}

func exchangeAtRandom(t *testing.T, a *Transporter, to Peer, random *rand.Rand, marker string) {
	size := random.IntN(60_000)
	body := strings.Repeat(marker, size/len(marker)+1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callerTimeout := time.Duration(random.IntN(1000)) * time.Microsecond
	cancels, closesEarly := random.IntN(3) == 0, false
	if cancels {
		time.AfterFunc(callerTimeout, cancel)
	}
	answer, _, err := a.Call(ctx, to, CallHead{ContentLength: int64(len(body))}, strings.NewReader(body))
	if err != nil {
		assert.Check(t, cancels, "%v", err)
		return
	}
	defer answer.Body.Close()
	want := len(body)
	if random.IntN(3) == 0 {
		closesEarly = true
		want = random.IntN(len(body))
	}
	got, err := io.ReadAll(io.LimitReader(answer.Body, int64(want)))
	assert.Check(t, strings.HasPrefix(body, string(got)), "caller %s got an answer to another call", marker)
	assert.Check(t, err == nil || cancels, "%v", err)
	if closesEarly {
		return
	}
	_, _ = io.ReadAll(answer.Body)
	_, complete := answer.Tail()
	assert.Check(t, complete || cancels, "caller %s got an incomplete answer", marker)
}

// The body of a refused call is not read. If its stream carried the next call, the rest of that body would be parsed as
// a call's head, and a caller could forge a call in another team's name.
func TestUnreadBodyIsNeverParsedAsCall(t *testing.T) {
	f := newFleet(t)
	a, _ := f.start("a", funcHandler{}, nil)
	_, to := f.start("b", funcHandler{call: func(
		_ context.Context, _ identifier.Node, _ CallHead, _ io.Reader, w AnswerWriter,
	) {
		_ = w.WriteHead(AnswerHead{Status: 503})
		_ = w.Close(AnswerTail{})
	}}, nil)
	for name, c := range map[string]struct{ size, kept int }{
		"arrived with the head": {size: 300, kept: 1},
		"still on its way":      {size: maxCoalesced, kept: 0},
		"not half sent":         {size: 4 << 20, kept: 0},
	} {
		_, _, err := callText(context.Background(), a, to, strings.Repeat("x", c.size))
		assert.NilError(t, err, name)
		l := a.currentLinks()[0]
		l.idleMu.Lock()
		assert.Equal(t, len(l.idle), c.kept, name)
		l.idle = nil
		l.idleMu.Unlock()
	}
}
