// Runs the real program as separate processes, to test what a test within one process can't: signals, exit codes, flags
// and settings files.

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	processTimeout  = 60 * time.Second
	uploadParts     = 30
	uploadPartBytes = 64 << 10
)

// program is the built program and the context that its runs share.
type program struct {
	t         *testing.T
	ctx       context.Context
	file      string
	directory string
	logURL    string
	// nodeLimits are lines of the section of limits in the settings of nodes that are started.
	nodeLimits string
}

// process is one running process; it writes JSON lines.
type process struct {
	command *exec.Cmd
	done    chan error

	mu     sync.Mutex
	output bytes.Buffer
}

func build(ctx context.Context, t *testing.T) *program {
	t.Helper()
	p := &program{t: t, ctx: ctx, directory: t.TempDir()}
	p.file = filepath.Join(p.directory, "jackdawtide")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", p.file, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	return p
}

// run runs a verb and waits until it exits.
func (p *program) run(args ...string) string {
	p.t.Helper()
	c := exec.CommandContext(p.ctx, p.file, args...)
	c.Env = append(os.Environ(), "JACKDAWTIDE_LOG="+p.logURL, "JACKDAWTIDE_OPERATOR=eva")
	out, err := c.CombinedOutput()
	assert.NilError(p.t, err, "%v: %s", args, out)
	return string(out)
}

// start starts a verb that keeps running.
func (p *program) start(args ...string) *process {
	p.t.Helper()
	r, w := io.Pipe()
	s := &process{command: exec.CommandContext(p.ctx, p.file, args...), done: make(chan error, 1)}
	s.command.Stdout, s.command.Stderr = w, w
	assert.NilError(p.t, s.command.Start())
	go s.collect(r)
	go func() {
		err := s.command.Wait()
		_ = w.Close()
		s.done <- err
	}()
	p.t.Cleanup(func() {
		_ = s.command.Process.Kill()
		if p.t.Failed() {
			p.t.Logf("%v:\n%s", args, s.text())
		}
	})
	return s
}

func (s *process) collect(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		s.mu.Lock()
		fmt.Fprintln(&s.output, lines.Text())
		s.mu.Unlock()
	}
}

func (s *process) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.output.String()
}

// waitForLine waits for a log line whose message has the given prefix and returns its fields.
func (s *process) waitForLine(t *testing.T, message string) map[string]any {
	t.Helper()
	var found map[string]any
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for l := range strings.Lines(s.text()) {
			var fields map[string]any
			if json.Unmarshal([]byte(l), &fields) == nil && strings.HasPrefix(fmt.Sprint(fields["msg"]), message) {
				found = fields
				return poll.Success()
			}
		}
		return poll.Continue("no line %q in:\n%s", message, s.text())
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return found
}

func (s *process) terminate(t *testing.T) {
	t.Helper()
	assert.NilError(t, s.command.Process.Signal(syscall.SIGTERM))
}

// waitForExit waits until the process exits, and fails the test on an error.
func (s *process) waitForExit(t *testing.T, bound time.Duration) {
	t.Helper()
	select {
	case err := <-s.done:
		assert.NilError(t, err, s.text())
	case <-time.After(bound):
		t.Fatalf("still running %s after SIGTERM:\n%s", bound, s.text())
	}
}

type runningNode struct {
	*process
	caller, local, admin string
}

const nodeSettings = `[node]
name = "%[1]s"
failureDomain = "%[2]s"
region = "okhotskCoast"
[listen]
caller = "127.0.0.1:0"
local = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
[log]
url = "%[3]s"
retention = "24h"
[certificates]
authority = "%[4]s/authority.pem"
certificate = "%[4]s/%[1]s.pem"
key = "%[4]s/%[1]s.key"
[limits]
%[5]s
`

func (p *program) startNode(name, domain string) runningNode {
	p.t.Helper()
	p.run("cert", "node", "--directory", p.directory, name)
	file := filepath.Join(p.directory, name+".toml")
	settings := fmt.Sprintf(nodeSettings, name, domain, p.logURL, p.directory, p.nodeLimits)
	assert.NilError(p.t, os.WriteFile(file, []byte(settings), 0o600))
	n := runningNode{process: p.start("node", "--settings", file)}
	l := n.waitForLine(p.t, "node started")
	n.caller = "http://" + fmt.Sprint(l["caller"])
	n.local = "http://" + fmt.Sprint(l["local"])
	n.admin = "http://" + fmt.Sprint(l["admin"])
	return n
}

func (p *program) startBackend(n runningNode, service string, more ...string) *process {
	p.t.Helper()
	args := append([]string{"backend", "--node", n.local, "--service", service, "--service-time", "5ms"}, more...)
	b := p.start(args...)
	b.waitForLine(p.t, "backend server stand-in announced")
	return b
}

func (p *program) issueKey(team string) (key, hash string) {
	p.t.Helper()
	var issued struct{ Key, Hash string }
	assert.NilError(p.t, json.Unmarshal([]byte(p.run("key", "issue", "--format", "json", team)), &issued))
	return issued.Key, issued.Hash
}

func (p *program) call(method, url, key string, body io.Reader) (int, string, error) {
	req, err := http.NewRequestWithContext(p.ctx, method, url, body)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// awaitStatus repeats a call until it returns the wanted status, and fails the test if it does not within the bound.
func (p *program) awaitStatus(url, key string, want int, bound time.Duration) string {
	p.t.Helper()
	var text string
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		status, body, err := p.call(http.MethodGet, url, key, http.NoBody)
		if err != nil {
			return poll.Error(err)
		}
		text = body
		if status == want {
			return poll.Success()
		}
		return poll.Continue("%s: %d %s, want %d", url, status, body, want)
	}, poll.WithTimeout(bound), poll.WithDelay(20*time.Millisecond))
	return text
}

// awaitCurrent waits until all nodes report the newest version; `preset status` exits with 1 while a node lags.
func (p *program) awaitCurrent(nodes ...runningNode) {
	p.t.Helper()
	args := []string{"preset", "status"}
	for _, n := range nodes {
		args = append(args, "--admin", n.admin)
	}
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		out, err := exec.CommandContext(p.ctx, p.file, args...).CombinedOutput()
		if err == nil {
			return poll.Success()
		}
		return poll.Continue("%s", out)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(100*time.Millisecond))
}

type uploadResult struct {
	status int
	text   string
	err    error
}

// An operator stops two nodes while a manifest upload passes through both: its entry node and the node of its backend
// server. If the stop interrupted the upload, it would be lost or, after a retry, stored twice. The same run also tests
// the withdrawal of a leaked key and the stop of a backend server.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	p := build(ctx, t)
	p.logURL = fmt.Sprint(p.start("log", "--listen", "127.0.0.1:0").waitForLine(t, "log stand-in")["url"])
	p.run("cert", "authority", "--directory", p.directory)
	first := p.startNode("bookings-1", "abashiri")
	second := p.startNode("slotBoard-1", "abashiri")
	third := p.startNode("ice-1", "mombetsu")
	p.startBackend(first, "bookings", "--call", "/slotBoard/slots")
	p.startBackend(first, "manifests")
	p.startBackend(second, "slotBoard", "--call", "/ice/bulletins")
	ice := p.startBackend(third, "ice")
	p.startBackend(second, "ice")

	p.run("preset", "publish", "../../deploy/kitakaze/ordinary.toml")
	p.run("preset", "publish", "../../deploy/kitakaze/peak.toml")
	p.run("preset", "switch", "ordinary")
	key, _ := p.issueKey("captains")
	leaked, hash := p.issueKey("tankerLines")
	for _, n := range []runningNode{first, second, third} {
		text := p.awaitStatus(n.caller+"/bookings/mine", key, http.StatusOK, 20*time.Second)
		assert.Assert(t, strings.Contains(text, "[slotBoard GET /slots") && strings.Contains(text, "[ice GET /bulletins"), text)
		p.awaitStatus(n.caller+"/ice/bulletins", leaked, http.StatusOK, 20*time.Second)
	}
	p.checkExplained(key, first, second, third)
	p.run("preset", "switch", "peak")
	p.run("key", "withdraw", hash)
	withdrawn := time.Now()
	for _, n := range []runningNode{first, second, third} {
		p.awaitStatus(n.caller+"/ice/bulletins", leaked, http.StatusUnauthorized, time.Until(withdrawn.Add(2*time.Second)))
		p.awaitStatus(n.caller+"/ice/bulletins", key, http.StatusOK, time.Second)
	}
	p.awaitCurrent(first, third)
	ice.terminate(t)
	ice.waitForExit(t, 5*time.Second)
	p.uploadThroughStops(first, third, key)
	p.awaitStatus(second.caller+"/ice/bulletins", key, http.StatusOK, 5*time.Second)
	for _, n := range []runningNode{first, second, third} {
		for _, k := range []string{key, leaked} {
			assert.Assert(t, !strings.Contains(n.text(), strings.TrimPrefix(k, "jt_")), "a key is in the log of a node")
		}
	}
}

// checkExplained requests the explanation of one request from all nodes: for each service of its call chain exactly one
// node, the one that sent the call, must report the decision.
func (p *program) checkExplained(key string, nodes ...runningNode) {
	p.t.Helper()
	status, text, err := p.call(http.MethodGet, nodes[0].caller+"/bookings/mine", key, http.NoBody)
	assert.NilError(p.t, err)
	assert.Equal(p.t, status, http.StatusOK, text)
	_, id, _ := strings.Cut(text, " for ")
	args := []string{"explain"}
	for _, n := range nodes {
		args = append(args, "--admin", n.admin)
	}
	explained := p.run(append(args, strings.Fields(id)[0])...)
	for _, service := range []string{"bookings", "slotBoard", "ice"} {
		assert.Equal(p.t, strings.Count(explained, ".service: "+service+"\n"), 1, explained)
	}
	assert.Equal(p.t, strings.Count(explained, ".verdict: answered\n"), 3, explained)
}

func (p *program) uploadThroughStops(delivery, entry runningNode, key string) {
	p.t.Helper()
	r, w := io.Pipe()
	result := make(chan uploadResult, 1)
	go func() {
		status, text, err := p.call(http.MethodPost, entry.caller+"/manifests/manifests", key, r)
		result <- uploadResult{status, text, err}
	}()
	part := make([]byte, uploadPartBytes)
	for i := range uploadParts {
		if i == uploadParts/3 {
			entry.terminate(p.t)
			delivery.terminate(p.t)
			entry.waitForLine(p.t, "node stopping")
			delivery.waitForLine(p.t, "node stopping")
		}
		_, err := w.Write(part)
		assert.NilError(p.t, err)
		time.Sleep(50 * time.Millisecond)
	}
	assert.NilError(p.t, w.Close())
	a := <-result
	assert.NilError(p.t, a.err)
	assert.Equal(p.t, a.status, http.StatusOK, a.text)
	want := fmt.Sprintf("manifests POST /manifests got %d bytes", uploadParts*uploadPartBytes)
	assert.Assert(p.t, strings.HasPrefix(a.text, want), a.text)
	entry.waitForExit(p.t, 10*time.Second)
	delivery.waitForExit(p.t, 10*time.Second)
}
