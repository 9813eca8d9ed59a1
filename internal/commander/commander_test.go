package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
)

// Eight operators switch the preset concurrently, and the log drops some of its answers. If two of them, or none, were
// told that their switch succeeded, they would act on a preset that is not in force.
func TestConcurrentSwitchesHaveOneWinner(t *testing.T) {
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

// The stand-in for the log runs as a separate process: it must print its address, and stop on request even while a read
// waits for records.
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
		t.Fatal("the log did not stop within 10 s")
	}
}

func TestHooksReceiveParsedOptions(t *testing.T) {
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

// The log goes down after it was sent a new key and before it answers. A key printed now might never become valid, and a
// team would get a key that is refused. So no key is printed, and the error names the hash to look for.
func TestKeyWithUnknownOutcomeIsNotShown(t *testing.T) {
	s := newSession(t)
	for _, line := range []string{"preset publish testdata/ordinary.toml", "preset switch ordinary"} {
		_, errOut, code := s.run(strings.Fields(line), "")
		assert.Equal(t, code, Done, errOut)
	}
	var down atomic.Bool
	flaky := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if r.Method != http.MethodPost {
			s.keeper.Handler().ServeHTTP(w, r)
			return
		}
		down.Store(true)
		s.keeper.Handler().ServeHTTP(httptest.NewRecorder(), r)
		http.Error(w, "down", http.StatusServiceUnavailable)
	}))
	defer flaky.Close()
	out, errOut, code := s.run([]string{"key", "issue", "agents", "--timeout", "1s", "--log", flaky.URL, "--format", "json"}, "")
	assert.Equal(t, code, Unreachable)
	assert.Equal(t, out, "")
	var f failure
	assert.NilError(t, json.Unmarshal([]byte(errOut), &f))
	assert.Equal(t, f.Kind, kindInDoubt)
	assert.Assert(t, f.ChangeID != "" && !strings.Contains(errOut, "jt_"))
	out, _, _ = s.run([]string{"key", "list", "--format", "json"}, "")
	hash, _, _ := strings.Cut(strings.TrimPrefix(f.Error, "key "), ":")
	assert.Assert(t, len(hash) == 64 && strings.Contains(out, hash), f.Error)
}

// An admin endpoint beyond loopback must accept only operators' certificates. If it accepted a node's certificate, an
// attacker who controls one VM could read the state of all nodes.
func TestAdminByMutualTLS(t *testing.T) {
	s := newSession(t)
	s.now = time.Now()
	for _, line := range []string{"cert authority", "cert node --valid 1h board-1", "cert operator --valid 1h eva"} {
		_, errOut, code := s.run(append(strings.Fields(line), "--directory", s.directory), "")
		assert.Equal(t, code, Done, errOut)
	}
	file := func(name string) string { return filepath.Join(s.directory, name) }
	trust, err := certifier.Load(certifier.Files{
		Authority: file("authority.pem"), Certificate: file("board-1.pem"), Key: file("board-1.key"),
	})
	assert.NilError(t, err)
	node := httptest.NewUnstartedServer(http.HandlerFunc(serveFakeNode))
	node.TLS = trust.Server(nil, certifier.Operator)
	node.Config.ErrorLog = log.New(io.Discard, "", 0)
	node.StartTLS()
	defer node.Close()
	for name, want := range map[string]Code{"eva": Done, "board-1": Unreachable} {
		_, errOut, code := s.run([]string{
			"dump", "--admin", node.URL, "--authority", file("authority.pem"),
			"--certificate", file(name + ".pem"), "--key", file(name + ".key"),
		}, "")
		assert.Equal(t, code, want, errOut)
	}
	_, _, code := s.run([]string{"dump", "--admin", node.URL}, "")
	assert.Equal(t, code, Unreachable, "without a certificate")
}
