package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Buffers of answers are reused. One that is returned too early would give a caller the answer to another one.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	entry, _, _ := pair(t, configurationOf(matcher.Idempotent, 2), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat(r.Header.Get(names.RequestID), 500))
	})
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			for j := range 50 {
				id := strings.Repeat(fmt.Sprintf("%d-%d.", i, j), 1+j%3)
				got, err := answerTo(entry, id)
				assert.Check(t, err)
				assert.Check(t, got == strings.Repeat(id, 500), "answer of another request: %.40q", got)
			}
		})
	}
	all.Wait()
}

func answerTo(n *node, id string) (string, error) {
	r, err := http.NewRequest(http.MethodGet, n.outbound.URL+"/obs/1", nil)
	if err != nil {
		return "", err
	}
	r.Host = "h.example"
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.TimeLeft, "2000")
	r.Header.Set(names.Key, "Key k")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// The outcome of an attempt follows from what ended it first: an attempt that was late, or whose caller had left, must not
// count as one that may be made again elsewhere since its node is unreachable.
func TestAttemptEndedAsUnreachable(t *testing.T) {
	tests := map[string]struct {
		timeout time.Duration
		end     func(a *abortable, cancel func())
		want    bool
	}{
		"under way":           {time.Minute, func(*abortable, func()) {}, false},
		"node unreachable":    {time.Minute, func(a *abortable, _ func()) { a.abort() }, true},
		"caller left":         {time.Minute, func(_ *abortable, cancel func()) { cancel() }, false},
		"caller left before":  {time.Minute, func(a *abortable, cancel func()) { cancel(); a.abort() }, false},
		"deadline was before": {time.Millisecond, func(a *abortable, _ func()) { <-a.Done(); a.abort() }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			caller, cancelCaller := context.WithCancel(context.Background())
			defer cancelCaller()
			ctx, cancel := context.WithTimeout(caller, test.timeout)
			defer cancel()
			a := &abortable{Context: ctx, cancel: cancel}
			test.end(a, cancelCaller)
			assert.Equal(t, endedAsUnreachable(a), test.want)
		})
	}
}
