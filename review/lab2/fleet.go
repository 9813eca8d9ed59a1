package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/platform"
	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	// program is where the deploy file's build puts the program.
	program = "target/jackdawtide"
	// firstPort is the first port that is tried for a node; the range lies below the ephemeral ports.
	firstPort = 16000
	portCount = 14000
	// readyTimeout bounds the wait until all nodes are ready, graceTime the time from SIGTERM to SIGKILL.
	readyTimeout = 15 * time.Second
	graceTime    = 6 * time.Second
)

// portsTaken is the number of ports that have been tried.
var portsTaken int

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	for ; portsTaken < portCount; portsTaken++ {
		port := firstPort + (os.Getpid()*97+portsTaken)%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		portsTaken++
		return l.Addr().String(), l.Close()
	}
	return "", fmt.Errorf("no free port")
}

// node is a sidecar and its endpoint.
type node struct {
	name, zone, settings               string
	outbound, readiness, announcements string
	backend                            *standin.Backend
	log                                *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fleet is the store, the sidecars and their endpoints.
type fleet struct {
	directory string
	store     *standin.Store
	faults    *storeFaults
	storeHTTP *httptest.Server
	nodes     []*node
	record    *record
	ctx       context.Context
	cancel    context.CancelFunc
}

const (
	// service and otherService are the services of the endpoints.
	service      = "svc-a"
	otherService = "svc-b"
	host         = "calls.example"
	slots        = 264
	runTime      = 10 * time.Millisecond
)

// zones are the failure domains of the machines, in turn.
var zones = []string{"zone-a", "zone-b"}

// machine is what a machine of a fleet runs beside its sidecar.
type machine struct {
	service string
	// condition is that of the endpoint; nil means a sound one.
	condition func(running int) standin.Condition
}

// soundMachines returns machines with sound endpoints of one service.
func soundMachines(count int) []machine {
	return slices.Repeat([]machine{{service: service}}, count)
}

// newFleet starts a store that holds a configuration, and sidecars with their endpoints.
func newFleet(ctx context.Context, directory string, machines []machine, configuration []byte) (*fleet, error) {
	f := &fleet{directory: directory, store: standin.NewStore(), record: newRecord()}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.faults = &storeFaults{next: f.store}
	f.storeHTTP = httptest.NewServer(f.faults)
	f.store.Write(platform.OperatorsTopic, platform.ConfigurationKey, configuration)
	for _, m := range machines {
		if err := f.addNode(m); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

func (f *fleet) addNode(m machine) error {
	i := len(f.nodes)
	n := &node{name: fmt.Sprintf("node-%02d", i), zone: zones[i%len(zones)]}
	n.settings = filepath.Join(f.directory, n.name+".toml")
	n.backend = standin.NewBackend()
	var err error
	if n.log, err = os.Create(filepath.Join(f.directory, n.name+".log")); err != nil {
		return err
	}
	if err := f.writeSettings(n, m.service); err != nil {
		return err
	}
	n.backend.Start(standin.BackendOptions{
		Instance: fmt.Sprintf("i-%02d", i), Service: m.service, Zone: n.zone, Slots: slots, Work: runTime,
		Control: n.announcements, Outbound: n.outbound, Address: n.backend.Address(),
		Arrived:      func(standin.Arrival) {},
		Ran:          f.record.addRun,
		Called:       func(standin.NestedCall) {},
		Acknowledged: func(string, time.Time) {},
		Condition:    m.condition,
	})
	f.nodes = append(f.nodes, n)
	go n.backend.Announce(f.ctx)
	return n.start()
}

// writeSettings writes what the deploy file's template makes for a machine of a small deployment.
func (f *fleet) writeSettings(n *node, service string) error {
	addresses := map[string]string{}
	for _, name := range []string{"outbound", "inbound", "readiness", "announcements", "peer", "metrics"} {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[name] = address
	}
	n.outbound, n.readiness, n.announcements = addresses["outbound"], addresses["readiness"], addresses["announcements"]
	text := fmt.Sprintf("[node]\nname = %q\nfailureDomain = %q\n\n[endpoint]\nservice = %q\naddress = %q\n\n[listen]\n",
		n.name, n.zone, service, n.backend.Address())
	for name, address := range addresses {
		text += fmt.Sprintf("%s = %q\n", name, address)
	}
	text += fmt.Sprintf("\n[store]\naddress = %q\n\n[regions]\n", f.storeHTTP.Listener.Addr())
	for _, zone := range zones {
		text += fmt.Sprintf("%q = \"region\"\n", zone)
	}
	text += "\n[limits]\nmemoryMb = 284\ndescriptors = 4100\n\n[bounds]\nrevoke = \"5000ms\"\nconfigurationInForce = \"2000ms\"\n" +
		"drain = \"2000ms\"\ngrace = \"6s\"\nrepeatRatio = 0.2\nrepeatSlack = 50\nrateWindow = \"5s\"\nrateExcess = 0.1\n" +
		"rateSlack = 20\nrepeatWindow = \"10s\"\n"
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the sidecar as the platform does; it must not be running.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command(program, "sidecar")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+n.settings)
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// How the process ended is not judged here.
		_ = c.Wait()
		close(exited)
	}()
	n.command, n.exited = c, exited
	return nil
}

// signal sends a signal to the sidecar, and returns the channel that is closed when the process has exited.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	// The signal fails if the process has just exited, which is harmless.
	_ = n.command.Process.Signal(s)
	return n.exited
}

// isReady returns whether the sidecar answers the platform's question with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pause waits, and returns an error if the case is to end.
func (f *fleet) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
}

func (f *fleet) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		ready := 0
		for _, n := range f.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
		if err := f.pause(100 * time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("not all nodes were ready within %v", readyTimeout)
}

// close ends all processes and stand-ins that were started.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, n := range f.nodes {
		ending.Go(func() {
			if n.command != nil {
				select {
				case <-n.signal(syscall.SIGTERM):
				case <-time.After(graceTime):
					<-n.signal(syscall.SIGKILL)
				}
			}
			n.backend.Close()
			_ = n.log.Close()
		})
	}
	ending.Wait()
	f.cancel()
	f.storeHTTP.CloseClientConnections()
	f.storeHTTP.Close()
}
