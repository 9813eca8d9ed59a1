package soaker

// Each node runs as a separate process, with proxies between it and the store, its endpoint and its callers. Only
// processes started here are signalled, through the handle from their start.
//
// Example: n.signal(syscall.SIGSTOP) pauses the node, n.restart(syscall.SIGTERM, pause, meanwhile) ends it and starts it again.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// terminationGrace is how long a process may take to exit after SIGTERM before it is killed; the nodes' settings hold
// the same value.
const terminationGrace = 6 * time.Second

// slots is how many requests an endpoint runs at once.
const slots = 16

type node struct {
	name, service, domain string
	instance              string
	settings              string
	log                   *os.File
	program               string
	record                *Record

	backend   *standin.Backend
	condition condition
	// store, endpoint and callers are the proxies on the node's connections.
	store, endpoint, callers *Proxy
	// announcements and outbound are the addresses at which the node accepts announcements and callers' requests.
	announcements, outbound string

	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan struct{}
	exitExpected bool
	// restarting is set while a restart of the process is in progress, limiting while its endpoint names limits.
	restarting, limiting atomic.Bool
}

const (
	// firstPort and portCount bound the ports on which nodes listen. The range lies below the ephemeral ports: an
	// outgoing connection could otherwise occupy a node's port while the node is down, and the node could not restart.
	firstPort = 15000
	portCount = 15000
	// maxPortAttempts bounds the search; far fewer than a tenth of the ports are ever in use.
	maxPortAttempts = 50
)

// allocatedPorts holds the ports that this process has given to nodes. A node listens on a port only some time after
// the port was found free; without this record two nodes could be given the same one, which failed one run in twenty.
var allocatedPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// freeAddress returns an address on which nothing listens and which was not given to another node.
func freeAddress() (string, error) {
	allocatedPorts.Lock()
	defer allocatedPorts.Unlock()
	var last error
	for range maxPortAttempts {
		port := firstPort + rand.IntN(portCount)
		if allocatedPorts.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			last = err
			continue
		}
		defer func() { _ = l.Close() }()
		allocatedPorts.ports[port] = true
		return l.Addr().String(), nil
	}
	return "", fmt.Errorf("find a free port: %w", last)
}

func (n *node) writeSettings(storeAddress, endpointAddress string) error {
	var listen strings.Builder
	for _, name := range []string{"outbound", "inbound", "readiness", "announcements", "peer", "metrics"} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		switch name {
		case "outbound":
			n.outbound = address
		case "announcements":
			n.announcements = address
		}
		fmt.Fprintf(&listen, "%s = %q\n", name, address)
	}
	text := fmt.Sprintf("[node]\nname = %q\nfailureDomain = %q\n\n[endpoint]\nservice = %q\naddress = %q\n\n[listen]\n%s\n"+
		"[store]\naddress = %q\n\n[limits]\nmemoryMb = 128\n\n[bounds]\nrevoke = \"5s\"\ndrain = \"2s\"\ngrace = \"6s\"\n"+
		"rateExcess = 0.1\nrateSlack = 20\nrepeatRatio = %v\nrepeatSlack = %v\nrepeatWindow = %q\n",
		n.name, n.domain, n.service, endpointAddress, listen.String(), storeAddress,
		Promises.RetryRatio, Promises.RetrySlack, Promises.RetryWindow)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process, which must not be running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command(n.program, "sidecar", "--settings", n.settings)
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.record.AddNodeStart(n.name, time.Now())
	n.command, n.exited, n.exitExpected = c, make(chan struct{}), false
	go n.wait(c, n.exited)
	return nil
}

func (n *node) wait(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	n.mu.Lock()
	exitExpected := n.exitExpected
	n.mu.Unlock()
	if !exitExpected {
		n.record.AddExit(fmt.Sprintf("%s: %v", n.name, err))
	}
	close(exited)
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.exitExpected = true
	}
	// The signal fails if the process has just exited, which is harmless.
	_ = n.command.Process.Signal(s)
}

// awaitExit waits for the process to exit, and kills it when terminationGrace has passed.
func (n *node) awaitExit() {
	select {
	case <-n.exited:
		return
	case <-time.After(terminationGrace):
	}
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// restart ends the process and starts it again after a pause. SIGTERM is a planned stop, any other signal a disruption.
// Meanwhile is called once the signal has been sent, and has returned before the process starts again.
func (n *node) restart(s syscall.Signal, pause time.Duration, meanwhile func()) error {
	endStop := func() {}
	if s == syscall.SIGTERM {
		endStop = n.record.BeginStop(n.name)
	} else {
		defer n.beginDisruption()()
	}
	n.signal(s)
	var other sync.WaitGroup
	other.Go(meanwhile)
	n.awaitExit()
	endStop()
	other.Wait()
	time.Sleep(pause)
	return n.start()
}

// beginDisruption records that the node and the way to its endpoint are disrupted until the returned function is called.
func (n *node) beginDisruption() (end func()) {
	endNode, endEndpoint := n.record.BeginDisruption(n.name), n.record.BeginDisruption(n.instance)
	return func() {
		endNode()
		endEndpoint()
	}
}

// fleet is the whole system under test.
type fleet struct {
	options  Options
	record   *Record
	store    *standin.Store
	storeURL string
	nodes    []*node
	teams    *teams
}

func (f *fleet) addNode(ctx context.Context, i int) error {
	service := services[i%len(services)]
	n := &node{
		name: fmt.Sprintf("node-%d", i), service: service, domain: []string{"west", "east"}[i/len(services)%2],
		instance: fmt.Sprintf("i-%d", i), program: f.options.Program, record: f.record,
		settings: filepath.Join(f.options.Directory, fmt.Sprintf("node-%d.toml", i)),
	}
	var err error
	if n.log, err = os.Create(filepath.Join(f.options.Directory, n.name+".log")); err != nil {
		return err
	}
	n.backend = standin.NewBackend()
	if n.store, err = NewProxy(f.storeURL); err != nil {
		return err
	}
	if n.endpoint, err = NewProxy(n.backend.Address()); err != nil {
		return err
	}
	if err := n.writeSettings(n.store.Address(), n.endpoint.Address()); err != nil {
		return err
	}
	if n.callers, err = NewProxy(n.outbound); err != nil {
		return err
	}
	nested := ""
	if service == services[0] {
		nested = "/inner/x"
	}
	n.backend.Start(standin.BackendOptions{
		Instance: n.instance, Service: service, Zone: n.domain, Slots: slots, Work: 10 * time.Millisecond,
		Control: n.announcements, Outbound: n.outbound, Host: host, Nested: nested, Address: n.endpoint.Address(),
		Arrived: f.record.AddArrival, Ran: f.record.AddRun, Called: f.recordNestedCall(n.name), Acknowledged: f.record.AddLeave,
		Condition: n.condition.draw, Ended: f.record.AddRunEnd,
		Received: f.record.AddReceived, Spoiled: f.record.AddSpoiled, Down: f.endEndpoint(n),
	})
	go n.backend.Announce(ctx)
	f.nodes = append(f.nodes, n)
	return n.start()
}

// recordNestedCall returns a function that records a nested call of the endpoint beside a node as a request of that node.
func (f *fleet) recordNestedCall(node string) func(standin.NestedCall) {
	return func(c standin.NestedCall) {
		f.record.AddRequest(Sent{ID: c.Request, Node: node, Path: c.Path, Idempotent: true, At: c.At, Answered: c.Answered, Answer: c.Answer})
	}
}

// close ends all processes, proxies and backend servers.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, n := range f.nodes {
		ending.Add(1)
		go func() {
			defer ending.Done()
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGTERM)
			n.awaitExit()
			n.store.Close()
			n.endpoint.Close()
			n.callers.Close()
			n.backend.Close()
			_ = n.log.Close()
		}()
	}
	ending.Wait()
}

// endEndpoint returns a function that refuses connections to the endpoint beside a node while it is down.
func (f *fleet) endEndpoint(n *node) func(request string, down bool) {
	end := func() {}
	return func(request string, down bool) {
		if down {
			f.record.AddEnd(request, time.Now())
			end = f.record.BeginDisruption(n.instance)
			n.endpoint.Refuse()
			return
		}
		f.record.AddStart(n.instance, time.Now())
		end()
		if err := n.endpoint.Accept(); err != nil {
			f.record.AddExit(fmt.Sprintf("%s: its endpoint is not back: %v", n.name, err))
		}
	}
}
