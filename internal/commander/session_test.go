package commander

// A session file holds an operator's commands and their output. Lines that begin with "$ " are commands, with "< " the
// next command's standard input, with "! " events of the log, and with "% " remarks; all other lines are output. The
// test runs the commands against a stand-in for the log and a fake node, and compares the whole output.

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

var keyPattern = regexp.MustCompile(`jt_[A-Za-z0-9_-]{43}`)

type session struct {
	keeper *logkeeper.Keeper
	random *rand.ChaCha8
	now    time.Time
	// replacements are pairs of a text that differs between runs and its placeholder.
	replacements []string
	directory    string
	keys         []string
	// output is all output except new keys that `key issue` printed.
	output bytes.Buffer
}

func newSession(t *testing.T) *session {
	k := logkeeper.New(logkeeper.Options{})
	log := httptest.NewServer(k.Handler())
	t.Cleanup(log.Close)
	node := httptest.NewServer(http.HandlerFunc(serveFakeNode))
	t.Cleanup(node.Close)
	t.Setenv(logVariable, log.URL)
	t.Setenv(adminVariable, node.URL)
	t.Setenv(operatorVariable, "")
	t.Setenv("COLUMNS", "80")
	dir := t.TempDir()
	return &session{
		keeper:       k,
		random:       newSeeded(7, 0),
		now:          time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC),
		directory:    dir,
		replacements: []string{log.URL, "http://log", node.URL, "http://node", dir, "DIRECTORY", runtime.Version(), "GO"},
	}
}

func newSeeded(a, b int) *rand.ChaCha8 {
	return rand.NewChaCha8([32]byte{byte(a), byte(b)})
}

// serveFakeNode answers like a node's admin endpoint, with files of testdata/node.
func serveFakeNode(w http.ResponseWriter, r *http.Request) {
	answer, err := os.ReadFile(filepath.Join("testdata", "node", strings.ReplaceAll(r.URL.Path[1:], "/", "-")+".json"))
	if err != nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	_, _ = w.Write(answer)
}

func (s *session) run(args []string, in string) (out, errOut string, code Code) {
	var o, e bytes.Buffer
	s.now = s.now.Add(time.Second)
	code = Run(context.Background(), Process{
		Args: args, In: strings.NewReader(in), Out: &o, Err: &e,
		Now: func() time.Time { return s.now }, Random: s.random, HTTP: http.DefaultClient, User: "eva",
	}, Hooks{})
	return o.String(), e.String(), code
}

// applyEvent applies the event of a "! " line to the log.
func (s *session) applyEvent(t *testing.T, line string) {
	t.Helper()
	word, argument, _ := strings.Cut(line, " ")
	switches := s.keeper.Switches()
	n, err := strconv.Atoi(argument)
	switch word {
	case "outage":
		switches.Outage = argument == "begins"
	case "lost":
		assert.NilError(t, err)
		switches.LostAnswers = n
	case "forget":
		assert.NilError(t, err)
		s.keeper.Forget(appender.Offset(n))
	default:
		t.Fatalf("unknown event %q", line)
	}
	s.keeper.Set(switches)
}

func (s *session) command(line, in string) string {
	line = strings.ReplaceAll(line, "DIRECTORY", s.directory)
	for i, k := range s.keys {
		line = strings.ReplaceAll(line, fmt.Sprintf("KEY%d", i+1), k)
		in = strings.ReplaceAll(in, fmt.Sprintf("KEY%d", i+1), k)
	}
	out, errOut, code := s.run(strings.Fields(line), in)
	s.collect(line, out, errOut)
	if errOut != "" {
		errOut = "2> " + strings.ReplaceAll(strings.TrimSuffix(errOut, "\n"), "\n", "\n2> ") + "\n"
	}
	text := out + errOut
	if code != Done {
		text += fmt.Sprintf("exit %d\n", code)
	}
	return s.normalise(text)
}

// collect records the keys that `key issue` printed and adds all other output to s.output.
func (s *session) collect(line, out, errOut string) {
	if strings.HasPrefix(line, "key issue") {
		for _, k := range keyPattern.FindAllString(out, -1) {
			s.keys = append(s.keys, k)
			out = strings.Replace(out, k, "", 1)
		}
	}
	s.output.WriteString(out + errOut)
}

func (s *session) normalise(text string) string {
	text = strings.NewReplacer(s.replacements...).Replace(text)
	for i, k := range s.keys {
		text = strings.ReplaceAll(text, k, fmt.Sprintf("KEY%d", i+1))
	}
	return regexp.MustCompile(`127\.0\.0\.1:\d+->127\.0\.0\.1:\d+`).ReplaceAllString(text, "A->B")
}

func (s *session) replay(t *testing.T, script string) string {
	t.Helper()
	var transcript, in strings.Builder
	for line := range strings.SplitSeq(script, "\n") {
		kind, rest, _ := strings.Cut(line, " ")
		switch kind {
		case "%":
		case "!":
			s.applyEvent(t, rest)
		case "<":
			in.WriteString(rest + "\n")
		case "$":
			transcript.WriteString(line + "\n" + s.command(rest, in.String()))
			in.Reset()
			continue
		default:
			continue
		}
		transcript.WriteString(line + "\n")
	}
	return transcript.String()
}

// The sessions cover ordinary work, concurrent changes, lost answers, an outage, a log that has dropped records, invalid
// files and a leaked key. The output must show what is in force, and only the output of `key issue` may contain a key.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 8)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".session")
		t.Run(name, func(t *testing.T) {
			s := newSession(t)
			script, err := os.ReadFile(f)
			assert.NilError(t, err)
			golden.Assert(t, s.replay(t, string(script)), name+".session")
			s.checkNoKey(t)
		})
	}
}

// checkNoKey fails the test if the collected output or a record of the log contains an issued key.
func (s *session) checkNoKey(t *testing.T) {
	t.Helper()
	b, err := s.keeper.Read(context.Background(), 0, 0, 0)
	if err == nil {
		for _, r := range b.Records {
			s.output.Write(r.Data)
		}
	}
	for _, k := range s.keys {
		assert.Assert(t, !strings.Contains(s.output.String(), strings.TrimPrefix(k, "jt_")), "a key was printed or stored")
	}
}
