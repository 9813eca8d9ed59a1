// One UDP socket carries all traffic: calls received, calls sent, and control messages in both directions. A
// connection is used in both directions whichever node dialled it, so two nodes share one connection and one handshake.
//
// Example: t, _ := New(options, handler); t.Start(ctx); t.Call(ctx, Peer{"n2", "127.0.0.1:7002"}, head, nil).

package transporter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Transporter carries calls and control messages between this node and others.
type Transporter struct {
	options   Options
	handler   Handler
	config    *quic.Config
	transport *quic.Transport
	listener  *quic.Listener
	// ended is created by New but neither closed nor read.
	ended     chan struct{}
	cancelAll context.CancelFunc
	wait      sync.WaitGroup

	mu      sync.Mutex
	closing bool
	peers   map[identifier.Node]*peerState
	// peersByAddress holds peers of which only the address is known.
	peersByAddress map[string]*peerState
	links          map[*link]struct{}
	handshakes     handshakes
	// totals holds the counts of links that have ended, and the counts that belong to no link.
	totals Stats
}

// New returns a transporter; it neither listens nor sends before Start.
func New(o Options, h Handler) *Transporter {
	o.fillDefaults()
	return &Transporter{
		options:        o,
		handler:        h,
		config:         quicConfig(o),
		ended:          make(chan struct{}),
		peers:          map[identifier.Node]*peerState{},
		peersByAddress: map[string]*peerState{},
		links:          map[*link]struct{}{},
	}
}

// quicConfig leaves keep-alive packets off: on a hundred idle connections they would use up a node's whole budget for
// control traffic. A peer that crashes while calls are under way is detected by peer_monitor.go.
func quicConfig(o Options) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           o.DialTimeout.Std(),
		MaxIdleTimeout:                 2 * o.IdleAfter.Std(),
		InitialStreamReceiveWindow:     o.StreamWindow,
		MaxStreamReceiveWindow:         o.MaxStreamWindow,
		InitialConnectionReceiveWindow: o.LinkWindow,
		MaxConnectionReceiveWindow:     o.MaxLinkWindow,
		MaxIncomingStreams:             int64(o.MaxCalls + maxIdleStreams),
		MaxIncomingUniStreams:          1,
	}
}

// Start binds the address and begins to accept connections.
func (t *Transporter) Start(_ context.Context) error {
	address, err := net.ResolveUDPAddr("udp", t.options.Listen)
	if err != nil {
		return fmt.Errorf("listen address %q: %w", t.options.Listen, err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	t.transport = &quic.Transport{
		Conn:                socket,
		StatelessResetKey:   resetKey(t.options.ServerTLS),
		VerifySourceAddress: func(net.Addr) bool { return t.handshakes.mustVerify() },
		ConnContext:         t.handshakes.begin,
	}
	t.listener, err = t.transport.Listen(withProtocol(t.options.ServerTLS), t.config)
	if err != nil {
		return errors.Join(fmt.Errorf("listen: %w", err), socket.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancelAll = cancel
	t.wait.Go(func() { t.acceptLinks(ctx) })
	t.wait.Go(func() { t.maintenanceLoop(ctx) })
	return nil
}

// Address returns the bound address.
func (t *Transporter) Address() string {
	return t.transport.Conn.LocalAddr().String()
}

func (t *Transporter) acceptLinks(ctx context.Context) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		t.handshakes.end(conn)
		t.wait.Go(func() { t.acceptLink(ctx, conn) })
	}
}

// Close rejects new calls, waits until the streams under way have finished or ctx ends, and closes the socket.
func (t *Transporter) Close(ctx context.Context) error {
	t.mu.Lock()
	t.closing = true
	links := t.linksLocked()
	t.mu.Unlock()
	for _, l := range links {
		l.startClose()
	}
	err := t.waitLinks(ctx, links)
	t.cancelAll()
	for _, l := range t.currentLinks() {
		l.closeNow(codeGoodbye)
	}
	closed := t.transport.Close()
	if e := t.transport.Conn.Close(); e != nil && !errors.Is(e, net.ErrClosed) {
		closed = errors.Join(closed, e)
	}
	t.wait.Wait()
	return errors.Join(err, closed)
}

func (t *Transporter) waitLinks(ctx context.Context, links []*link) error {
	for _, l := range links {
		select {
		case <-l.conn.Context().Done():
		case <-ctx.Done():
			return fmt.Errorf("close: %w", ctx.Err())
		}
	}
	return nil
}

func (t *Transporter) linksLocked() []*link {
	out := make([]*link, 0, len(t.links))
	for l := range t.links {
		out = append(out, l)
	}
	return out
}

func (t *Transporter) currentLinks() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.linksLocked()
}

func (t *Transporter) isPartitioned(n identifier.Node) bool {
	return t.options.Partitioned != nil && t.options.Partitioned(n)
}

// maintenanceLoop closes idle connections, detects dead peers and, in tests, closes the connections to partitioned
// peers.
func (t *Transporter) maintenanceLoop(ctx context.Context) {
	period := min(t.options.IdleAfter, t.options.PeerTimeout).Std() / 4
	if t.options.Partitioned != nil {
		period = min(period, 20*time.Millisecond)
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			t.maintainLinks(now)
		}
	}
}

func (t *Transporter) maintainLinks(now time.Time) {
	t.prunePeers()
	for _, l := range t.currentLinks() {
		if t.isPartitioned(l.node()) {
			l.closeNow(codePartitioned)
			continue
		}
		l.checkPeer(now)
		if l.dialled && l.idleFor(now) > t.options.IdleAfter.Std() {
			l.startClose()
		}
	}
}

func (t *Transporter) prunePeers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	pruneDisposable(t.peers)
	pruneDisposable(t.peersByAddress)
}
