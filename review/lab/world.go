package main

// A world is a small deployment: the platform's store, and machines with one node and one endpoint each. Each machine has a
// loopback address of its own; the ports are the same on all machines.
//
// Example: w.start(deployment) writes the configuration, starts the nodes and endpoints and waits until all nodes are ready.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/platform"
	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// The ports of a machine, counted from the first one.
const (
	inboundPort = iota
	outboundPort
	readinessPort
	controlPort
	peerPort
	metricsPort
	endpointPort
	portCount
)

const (
	// program is built by the command of the deploy file.
	program = "target/jackdawtide"
	// The limits and bounds are those of the hyoha-sched deployment.
	memoryMB    = 284
	descriptors = 4100
	grace       = 6 * time.Second
	// leadTime is how long after the machines traffic starts.
	leadTime = 8 * time.Second
)

// machineSpec describes a machine.
type machineSpec struct {
	name, zone, service string
	slots               int
}

// deployment describes a world.
type deployment struct {
	machines      []machineSpec
	configuration standin.Configuration
}

// machine is a machine of a running world.
type machine struct {
	machineSpec
	world    *world
	ip       string
	endpoint *endpoint
	settings string

	mu      sync.Mutex
	process *exec.Cmd
	// started is when the process was started.
	started time.Time
	// ended is closed when the process has ended.
	ended chan struct{}
	// stopped is set when the process is not to be started again.
	stopped bool
	// kills counts how often the platform killed the process because it exceeded its memory.
	kills int
}

// world is a running deployment.
type world struct {
	record   *record
	folder   string
	store    *standin.Store
	storeAt  string
	basePort int
	// network is the second part of the machines' addresses; each world takes one at random.
	network  int
	machines []*machine
	ctx      context.Context
	cancel   context.CancelFunc
	server   *http.Server
}

func newWorld(r *record) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, folder: folder, store: standin.NewStore(), storeAt: l.Addr().String(), network: 20 + rand.IntN(200)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// address returns the address of a port of the machine.
func (m *machine) address(port int) string {
	return net.JoinHostPort(m.ip, fmt.Sprint(m.world.basePort+port))
}

// findPorts finds a range of ports that is free on all machines, below the ephemeral ports.
func (w *world) findPorts() error {
	for range 200 {
		w.basePort = 18000 + rand.IntN(12000)
		if w.portsFree() {
			return nil
		}
	}
	return errors.New("no ports are free")
}

func (w *world) portsFree() bool {
	for _, m := range w.machines {
		for port := range portCount {
			l, err := net.Listen("tcp", m.address(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// start starts the deployment and waits until it may get traffic.
func (w *world) start(d deployment, behave func(m *machine) behavior) error {
	for i, s := range d.machines {
		w.machines = append(w.machines, &machine{machineSpec: s, world: w, ip: fmt.Sprintf("127.%d.%d.1", w.network, i+1)})
	}
	if err := w.findPorts(); err != nil {
		return err
	}
	d.configuration.Publish(w.store)
	for _, m := range w.machines {
		if err := m.writeSettings(d.machines); err != nil {
			return err
		}
		if err := m.launch(); err != nil {
			return err
		}
		e, err := newEndpoint(m, behave(m))
		if err != nil {
			return err
		}
		m.endpoint = e
		go e.announce(w.ctx)
	}
	time.Sleep(leadTime)
	return w.awaitReady()
}

func (w *world) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(w.machines) {
			return nil
		}
	}
	return errors.New("not all nodes are ready")
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(readinessPort) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// writeSettings writes what the template of the deploy file makes of the platform's fields.
func (m *machine) writeSettings(all []machineSpec) error {
	var regions strings.Builder
	seen := map[string]bool{}
	for _, s := range all {
		if !seen[s.zone] {
			seen[s.zone] = true
			_, _ = fmt.Fprintf(&regions, "%q = \"okhotsk\"\n", s.zone)
		}
	}
	text := fmt.Sprintf(`[node]
name = %q
failureDomain = %q

[endpoint]
service = %q
address = %q

[listen]
outbound = %q
inbound = %q
readiness = %q
announcements = %q
peer = %q
metrics = %q

[store]
address = %q

[regions]
%s
[limits]
memoryMb = %d
descriptors = %d

[bounds]
revoke = "5000ms"
configurationInForce = "2000ms"
drain = "2000ms"
grace = "6s"
repeatRatio = 0.2
repeatSlack = 48
rateWindow = "5s"
rateExcess = 0.1
rateSlack = 20
repeatWindow = "10s"
`, m.name, m.zone, m.service, m.address(endpointPort), m.address(outboundPort), m.address(inboundPort),
		m.address(readinessPort), m.address(controlPort), m.address(peerPort), m.address(metricsPort),
		m.world.storeAt, regions.String(), memoryMB, descriptors)
	m.settings = filepath.Join(m.world.folder, m.name+".toml")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// launch starts the node and starts it again whenever it ends, as the platform does.
func (m *machine) launch() error {
	if _, err := m.startProcess(); err != nil {
		return err
	}
	go func() {
		for {
			m.mu.Lock()
			process, ended := m.process, m.ended
			m.mu.Unlock()
			_ = process.Wait()
			close(ended)
			m.mu.Lock()
			stopped := m.stopped
			m.mu.Unlock()
			if stopped {
				return
			}
			m.world.record.note("node %s ended: %s", m.name, process.ProcessState)
			time.Sleep(300 * time.Millisecond)
			started, err := m.startProcess()
			if err != nil {
				m.world.record.note("node %s not started: %v", m.name, err)
			}
			if !started {
				return
			}
			m.world.record.note("node %s started again", m.name)
		}
	}()
	return nil
}

// startProcess starts the node unless it is not to be started again, and returns whether it did.
func (m *machine) startProcess() (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false, nil
	}
	log, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return false, err
	}
	defer log.Close()
	m.process = exec.Command(program, "sidecar")
	m.process.Env = []string{platform.SettingsVariable + "=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.ended, m.started = make(chan struct{}), time.Now()
	if err := m.process.Start(); err != nil {
		close(m.ended)
		return false, err
	}
	return true, nil
}

// startedAt returns when the node's process was started.
func (m *machine) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(s)
}

// residentMB returns the resident memory of the node's process in MB.
func (m *machine) residentMB() float64 {
	m.mu.Lock()
	pid := m.process.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / (1 << 20)
}

// enforceMemory kills a node's process that exceeds its memory, as the platform does.
func (w *world) enforceMemory() {
	for w.ctx.Err() == nil {
		for _, m := range w.machines {
			if used := m.residentMB(); used > memoryMB {
				w.record.say("node %s uses %.0f MB of %d MB: killed by the platform", m.name, used, memoryMB)
				m.mu.Lock()
				m.kills++
				m.mu.Unlock()
				m.signal(syscall.SIGKILL)
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// close ends all processes.
func (w *world) close() {
	w.cancel()
	for _, m := range w.machines {
		m.mu.Lock()
		m.stopped = true
		process, ended := m.process, m.ended
		m.mu.Unlock()
		if process == nil {
			continue
		}
		if process.Process != nil {
			_ = process.Process.Kill()
		}
		<-ended
		if m.endpoint != nil {
			m.endpoint.close()
		}
	}
	_ = w.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs kept in", w.folder)
	}
}
