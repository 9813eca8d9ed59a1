package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
)

// Operators switch at the same moment, each from their own desk, and the log loses some of their answers. If two were
// told that theirs is in force, or none, they would act on a preset that no node runs.
func TestOneWinnerOfARace(t *testing.T) {
	const operators = 8
	for round := range 5 {
		s := newSession(t)
		for _, line := range []string{"preset publish testdata/ordinary.toml", "preset publish testdata/peak.toml", "preset switch ordinary"} {
			_, errOut, code := s.run(strings.Fields(line), "")
			assert.Equal(t, code, Done, errOut)
		}
		s.keeper.Set(logkeeper.Switches{LostAnswers: round})
		codes := make([]Code, operators)
		errs := make([]bytes.Buffer, operators)
		var all sync.WaitGroup
		for i := range operators {
			all.Go(func() {
				codes[i] = Run(context.Background(), Process{
					Args: strings.Fields("preset switch peak --base 3"),
					Out:  io.Discard, Err: &errs[i], Now: time.Now, Random: newSeeded(round, i), HTTP: http.DefaultClient,
				}, Hooks{})
			})
		}
		all.Wait()
		winners := 0
		for i, c := range codes {
			if c == Done {
				winners++
				continue
			}
			assert.Equal(t, c, Failed, errs[i].String())
			assert.Equal(t, errs[i].String(), "refused: the preset in force: it was changed meanwhile (made against version 3, now at 4)\n")
		}
		assert.Equal(t, winners, 1)
	}
}

// The stand-in of the log is a process of its own; it must say where it listens, and stop on request even while a
// reader waits for news.
func TestLogVerb(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	out, in := io.Pipe()
	done := make(chan Code, 1)
	go func() {
		done <- Run(ctx, Process{Args: []string{"log", "--listen", "127.0.0.1:0", "--keep-count", "7"}, Out: in, Err: io.Discard}, Hooks{})
	}()
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	var first struct{ Msg, URL string }
	assert.NilError(t, json.Unmarshal([]byte(line), &first))
	assert.Assert(t, strings.Contains(first.Msg, "for tests"))
	go func() {
		res, err := http.Get(first.URL + "/records?waitMs=30000")
		if err == nil {
			_ = res.Body.Close()
		}
	}()
	res, err := http.Get(first.URL + "/switches")
	assert.NilError(t, err)
	answer, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Assert(t, strings.Contains(string(answer), `"keepCount":7`))
	stop()
	select {
	case code := <-done:
		assert.Equal(t, code, Done)
	case <-time.After(10 * time.Second):
		t.Fatal("the log did not stop")
	}
}

func TestHooksGetWhatWasAsked(t *testing.T) {
	var got []string
	h := Hooks{
		Backend: func(_ context.Context, _ Process, o BackendOptions) error {
			got = append(got, fmt.Sprintf("%+v", o))
			return nil
		},
		Demo: func(_ context.Context, _ Process, o DemoOptions) error {
			got = append(got, fmt.Sprintf("%+v", o))
			return nil
		},
		Measures: []Measure{{Name: "path", Help: "Measure the path.", Run: func(_ context.Context, _ Process, f Format) error {
			got = append(got, string(f))
			return context.DeadlineExceeded
		}}},
	}
	lines := map[string]Code{
		"backend --node http://n --service ice --slots 4 --call /a/b --call /c --reported-load 0.5": Done,
		"demo --deployment concordia --format json":                                                 Done,
		"measure path --format json":                                                                Unreachable,
	}
	for line, want := range lines {
		code := Run(context.Background(), Process{Args: strings.Fields(line), Out: io.Discard, Err: io.Discard}, h)
		assert.Equal(t, code, want, line)
	}
	all := strings.Join(got, "\n")
	for _, part := range []string{
		"{Node:http://n Service:ice Listen:127.0.0.1:0 Slots:4 Connections:700 ServiceTime:20ms ColdStart:0s ReportedLoad:0.5 Calls:[/a/b /c]}",
		"{Deployment:concordia Format:json}", "json",
	} {
		assert.Assert(t, strings.Contains(all, part), all)
	}
}
