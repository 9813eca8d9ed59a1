// The fleet consists of the real parts: nodes assembled as in production, QUIC with mutual TLS between them, the log
// stand-in over HTTP, backend servers that announce themselves. They only share one process and use loopback as their
// network.
//
// Example: f, err := launcher.Start(ctx, launcher.Options{Plan: plan}); defer f.Close().

package launcher

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/assembler"
	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
	"github.com/jackdawtide/jackdawtide/internal/responder"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

const (
	certificateLife = 24 * time.Hour
	drainTimeout    = 20 * clock.Second
	maxConnections  = 20_000
	maxBodies       = 20_000
)

// Options configures the fleet to launch.
type Options struct {
	Plan Plan
	// Logs receives the nodes' log lines; nil discards them.
	Logs io.Writer
	// Debug makes the nodes log at debug level.
	Debug bool
	// SkipPublish leaves the publishing of presets and keys to the caller.
	SkipPublish bool
	Seed        uint64
}

// Fleet is a running fleet.
type Fleet struct {
	Keeper    *logkeeper.Keeper
	LogURL    string
	Publisher *publisher.Publisher
	Members   []*Member
	// Keys holds a key of each team of the preset in force.
	Keys map[identifier.Team]string

	options   Options
	authority certifier.Authority
	logServer *http.Server
	log       appender.Log

	mu          sync.Mutex
	partitioned map[identifier.FailureDomain]bool
	domainOf    map[identifier.Node]identifier.FailureDomain
}

// Member is one VM of the fleet: a node and the backend server behind it.
type Member struct {
	Name    string
	Domain  identifier.FailureDomain
	Service Service
	Node    *assembler.Node
	Clock   *clock.Clock
	Backend *responder.Server
	// addresses stay the same over restarts of the node, so that peers and callers can reach it again.
	addresses assembler.Addresses
}

// CallerURL returns the URL at which callers reach the member's node.
func (m *Member) CallerURL() string { return "http://" + m.addresses.Caller }

// LocalURL returns the URL at which the member's backend server reaches the node.
func (m *Member) LocalURL() string { return "http://" + m.addresses.Local }

// AdminURL returns the URL of the node's admin endpoint.
func (m *Member) AdminURL() string { return "http://" + m.addresses.Admin }

// Start launches the fleet and waits until it is ready; with SkipPublish it does not wait.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{
		options:     o,
		Keeper:      logkeeper.New(logkeeper.Options{}),
		Keys:        make(map[identifier.Team]string),
		partitioned: make(map[identifier.FailureDomain]bool),
		domainOf:    make(map[identifier.Node]identifier.FailureDomain),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.authority, err = certifier.NewAuthority(time.Now(), certificateLife); err != nil {
		return err
	}
	if err = f.startLog(); err != nil {
		return err
	}
	if err = f.startMembers(ctx); err != nil {
		return err
	}
	if f.options.SkipPublish {
		return nil
	}
	if err = f.PublishPlan(ctx); err != nil {
		return err
	}
	return f.AwaitReady(ctx)
}

func (f *Fleet) startLog() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the log stand-in: %w", err)
	}
	f.LogURL = "http://" + l.Addr().String()
	f.logServer = &http.Server{Handler: f.Keeper.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = f.logServer.Serve(l) }()
	f.log, err = appender.NewClient(f.LogURL, &http.Client{})
	if err != nil {
		return err
	}
	f.Publisher = publisher.New(publisher.Options{
		Log:            f.log,
		Operator:       "launcher",
		Wall:           func() clock.Wall { return clock.Wall(time.Now().UnixMilli()) },
		Random:         rand.Reader,
		AttemptTimeout: 2 * clock.Second,
		RetryPause:     50 * clock.Millisecond,
	})
	return nil
}

func (f *Fleet) startMembers(ctx context.Context) error {
	n := 0
	for _, s := range f.options.Plan.Services {
		for i := range s.Endpoints {
			m := &Member{
				Name:    fmt.Sprintf("%s-%d", s.Name, i+1),
				Domain:  identifier.FailureDomain(f.options.Plan.Domains[n%len(f.options.Plan.Domains)]),
				Service: s,
			}
			n++
			if err := f.StartNode(ctx, m); err != nil {
				return err
			}
			f.Members = append(f.Members, m)
			if err := f.StartBackend(ctx, m); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartNode starts the member's node; a restarted node reuses its previous addresses.
func (f *Fleet) StartNode(ctx context.Context, m *Member) error {
	pair, err := f.authority.Issue(certifier.Identity{Role: certifier.Node, Name: m.Name}, time.Now(), certificateLife)
	if err != nil {
		return err
	}
	trust, err := certifier.NewTrust(f.authority.Certificate, pair)
	if err != nil {
		return err
	}
	if m.Clock == nil {
		m.Clock = clock.New()
	}
	node, err := assembler.New(assembler.Options{
		Settings:    f.settings(m),
		Trust:       trust,
		Log:         partitionedLog{fleet: f, domain: m.Domain, log: f.log},
		Logger:      f.logger(m),
		Clock:       m.Clock,
		Partitioned: func(peer identifier.Node) bool { return f.isPartitioned(m.Domain, peer) },
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.domainOf[node.ID()] = m.Domain
	f.mu.Unlock()
	if err := node.Start(ctx); err != nil {
		return fmt.Errorf("start node %s: %w", m.Name, err)
	}
	m.Node = node
	m.addresses = node.Addresses()
	return nil
}

// StartBackend starts the member's backend server stand-in and announces it.
func (f *Fleet) StartBackend(ctx context.Context, m *Member) error {
	b, err := responder.Start(ctx, responder.Options{
		Endpoint:        m.Name,
		Service:         m.Service.Name,
		Listen:          "127.0.0.1:0",
		NodeURL:         m.LocalURL(),
		Slots:           m.Service.Slots,
		ConnectionLimit: m.Service.Connections,
		ServiceTime:     m.Service.ServiceTime,
		ColdStart:       m.Service.ColdStart,
		Calls:           m.Service.Calls,
		Seed:            f.options.Seed + uint64(len(f.Members)),
	})
	if err != nil {
		return fmt.Errorf("start backend server %s: %w", m.Name, err)
	}
	m.Backend = b
	return nil
}

func (f *Fleet) settings(m *Member) loader.Settings {
	limits := loader.DefaultLimits()
	limits.DrainTimeout = drainTimeout
	limits.MaxConnections = maxConnections
	limits.MaxBodies = maxBodies
	s := loader.Settings{
		Name:   loader.NodeName(m.Name),
		Domain: m.Domain,
		Listen: loader.Listen{
			Caller: addressOrAny(m.addresses.Caller),
			Local:  addressOrAny(m.addresses.Local),
			Peer:   addressOrAny(m.addresses.Peer),
			Admin:  addressOrAny(m.addresses.Admin),
		},
		Log:    loader.Log{URL: f.LogURL, Retention: loader.DefaultRetention},
		Limits: limits,
	}
	for i, other := range f.Members {
		if other != m && i < 3 {
			s.Seeds = append(s.Seeds, addressOrAny(other.addresses.Peer))
		}
	}
	return s
}

func addressOrAny(address string) netip.AddrPort {
	if address == "" {
		return netip.MustParseAddrPort("127.0.0.1:0")
	}
	return netip.MustParseAddrPort(address)
}

func (f *Fleet) logger(m *Member) *log.Logger {
	w := f.options.Logs
	if w == nil {
		w = io.Discard
	}
	l := log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	if f.options.Debug {
		l.SetLevel(log.DebugLevel)
	}
	return l.With("node", m.Name)
}

// Close kills all nodes and backend servers and closes the log.
func (f *Fleet) Close() {
	var group sync.WaitGroup
	for _, m := range f.Members {
		group.Go(func() {
			if m.Backend != nil {
				m.Backend.Crash()
			}
			if m.Node != nil {
				m.Node.Kill()
			}
		})
	}
	group.Wait()
	if f.logServer != nil {
		_ = f.logServer.Close()
	}
}
