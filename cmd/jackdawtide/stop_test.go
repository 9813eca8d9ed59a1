// Callers keep their connections through the planned stop of a node, and go on sending until it takes no more.

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stayingCaller sends requests on kept connections, ahead of them at a time, until its node takes no more connections or stay
// ends.
type stayingCaller struct {
	address string
	request string
	ahead   int
	// pause is how long the caller waits after an answer.
	pause time.Duration

	answers int
	// cut describes the requests that were sent and neither answered nor turned away by an answer that closes the connection.
	cut []string
}

func (c *stayingCaller) run(stay context.Context) {
	for stay.Err() == nil {
		n, err := net.Dial("tcp", c.address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			c.use(stay, n)
			_ = n.Close()
		}
	}
}

func (c *stayingCaller) use(stay context.Context, n net.Conn) {
	reader := bufio.NewReader(n)
	sent := 0
	for answered := 0; ; answered++ {
		for ; sent < answered+c.ahead && stay.Err() == nil; sent++ {
			if _, err := io.WriteString(n, c.request); err != nil {
				break
			}
		}
		if sent == answered {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		var text []byte
		if err == nil {
			text, err = io.ReadAll(response.Body)
		}
		if err != nil {
			c.cut = append(c.cut, fmt.Sprintf("answer %d of the connection: %v", answered+1, err))
			return
		}
		c.answers++
		if strings.Contains(string(text), "lostAnswer") {
			c.cut = append(c.cut, string(text))
		}
		if response.Close {
			return
		}
		time.Sleep(c.pause)
	}
}

// A process ends while callers keep their connections to a node: a request that was read may not be cut, whatever the signal is
// and whichever process it is.
func TestProcessEndCutsNoRequestOfCallersThatStay(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	type name string
	const (
		entry   name = "bookings-1"
		beside  name = "ice-1"
		backend name = "the endpoint beside ice-1"
	)
	hangUp := []os.Signal{syscall.SIGHUP}
	once, twice := []os.Signal{syscall.SIGTERM}, []os.Signal{syscall.SIGTERM, syscall.SIGTERM}
	one, two := stayingCaller{ahead: 1}, stayingCaller{ahead: 2}
	for name, test := range map[string]struct {
		ends    []name
		signals []os.Signal
		caller  stayingCaller
	}{
		"one request at a time":     {ends: []name{entry}, signals: once, caller: one},
		"two requests at a time":    {ends: []name{entry}, signals: once, caller: two},
		"pauses between requests":   {ends: []name{entry}, signals: once, caller: stayingCaller{ahead: 1, pause: 30 * time.Millisecond}},
		"a second signal":           {ends: []name{entry}, signals: twice, caller: one},
		"both nodes":                {ends: []name{entry, beside}, signals: once, caller: one},
		"the node of the endpoint":  {ends: []name{beside}, signals: once, caller: one},
		"an endpoint":               {ends: []name{backend}, signals: once, caller: one},
		"the endpoint and its node": {ends: []name{backend, beside}, signals: once, caller: one},
		"hang-up":                   {ends: []name{entry}, signals: hangUp, caller: one},
		"hang-up of an endpoint":    {ends: []name{backend}, signals: hangUp, caller: one},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
			defer cancel()
			p := build(ctx, t)
			p.logURL = fmt.Sprint(p.start("log", "--listen", "127.0.0.1:0").waitForLine(t, "log stand-in")["url"])
			p.run("cert", "authority", "--directory", p.directory)
			entryNode, besideNode := p.startNode(string(entry), "abashiri"), p.startNode(string(beside), "abashiri")
			processes := map[any]*process{entry: entryNode.process, beside: besideNode.process}
			for _, n := range []runningNode{entryNode, besideNode} {
				processes[backend] = p.start("backend", "--node", n.local, "--service", "ice", "--service-time", "40ms")
				processes[backend].waitForLine(t, "backend server stand-in announced")
			}
			p.run("preset", "publish", "../../deploy/kitakaze/ordinary.toml")
			p.run("preset", "switch", "ordinary")
			key, _ := p.issueKey("captains")
			p.awaitStatus(entryNode.caller+"/ice/bulletins", key, http.StatusOK, 20*time.Second)
			address := strings.TrimPrefix(entryNode.caller, "http://")
			callers := make([]stayingCaller, 16)
			stay, leave := context.WithCancel(ctx)
			defer leave()
			var running sync.WaitGroup
			for i := range callers {
				callers[i] = test.caller
				callers[i].address = address
				callers[i].request = "GET /ice/bulletins HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer " + key + "\r\n\r\n"
				running.Go(func() { callers[i].run(stay) })
			}
			time.Sleep(500 * time.Millisecond)
			begun := time.Now()
			for _, s := range test.signals {
				for _, e := range test.ends {
					assert.NilError(t, processes[e].command.Process.Signal(s))
				}
				time.Sleep(50 * time.Millisecond)
			}
			for _, e := range test.ends {
				processes[e].waitForExit(t, 20*time.Second)
			}
			t.Logf("ended after %v", time.Since(begun))
			leave()
			running.Wait()
			answers := 0
			var cut []string
			for _, c := range callers {
				answers += c.answers
				cut = append(cut, c.cut...)
			}
			assert.Equal(t, len(cut), 0, "beside %d answers: %s", answers, strings.Join(cut, "; "))
		})
	}
}

// A call runs longer than the drain timeout: its caller must get an answer that says that it may have run, not a connection that
// ends.
func TestEndOfDrainTimeoutAnswersCallsAtWork(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	defer cancel()
	p := build(ctx, t)
	p.nodeLimits = `drainTimeout = "500ms"`
	p.logURL = fmt.Sprint(p.start("log", "--listen", "127.0.0.1:0").waitForLine(t, "log stand-in")["url"])
	p.run("cert", "authority", "--directory", p.directory)
	n := p.startNode("ice-1", "abashiri")
	p.start("backend", "--node", n.local, "--service", "ice", "--service-time", "1200ms").
		waitForLine(t, "backend server stand-in announced")
	p.run("preset", "publish", "../../deploy/kitakaze/ordinary.toml")
	p.run("preset", "switch", "ordinary")
	key, _ := p.issueKey("captains")
	p.awaitStatus(n.caller+"/ice/bulletins", key, http.StatusOK, 30*time.Second)
	answered := make(chan uploadResult, 1)
	go func() {
		status, text, err := p.call(http.MethodPost, n.caller+"/ice/bulletins", key, http.NoBody)
		answered <- uploadResult{status, text, err}
	}()
	time.Sleep(200 * time.Millisecond)
	n.terminate(t)
	a := <-answered
	assert.NilError(t, a.err)
	assert.Assert(t, strings.Contains(a.text, `"notRun":false`), "%d %s", a.status, a.text)
}
