// Ten concurrent calls to the same new peer must cost one handshake (about 1 ms), not ten, and a peer that is down
// must not be dialled by every call. So each peer has one state: its link, the dial under way that all calls wait
// for, and the time until which a failed dial is not retried.
//
// Example: the dial to n2 fails at 0 ms; calls in the next 25 to 50 ms fail at once with BackOffError, phase notSent.

package transporter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

type peerState struct {
	link *link
	// dialling is closed when the dial under way ends; it is nil when there is none.
	dialling chan struct{}
	lastErr  error
	failures int
	retryAt  time.Time

	queue      [][]byte
	queueBytes int
	sending    bool
}

func (t *Transporter) peerStateLocked(to Peer) *peerState {
	if to.Node == "" {
		return peerStateIn(t.peersByAddress, to.Address)
	}
	return peerStateIn(t.peers, to.Node)
}

func peerStateIn[K comparable](m map[K]*peerState, key K) *peerState {
	p := m[key]
	if p == nil {
		p = &peerState{}
		m[key] = p
	}
	return p
}

// maxAcquireAttempts bounds the attempts of one call to get a link. Otherwise a peer that accepts connections and closes
// them at once would keep its callers dialling indefinitely.
const maxAcquireAttempts = 4

// acquire returns a link to the peer and counts a call on it.
func (t *Transporter) acquire(ctx context.Context, to Peer) (*link, error) {
	for range maxAcquireAttempts {
		l, dialling, err := t.linkOrDial(to)
		if err != nil {
			return nil, err
		}
		if l != nil && l.beginCall() {
			return t.limitCalls(l)
		}
		if l != nil {
			t.detachLink(l)
			continue
		}
		select {
		case <-dialling:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errLinksKeepEnding
}

func (t *Transporter) limitCalls(l *link) (*link, error) {
	if int(l.calls.Load()) > t.options.MaxCalls {
		l.endCall()
		return nil, errTooManyCalls
	}
	return l, nil
}

// linkOrDial returns the peer's link, or a channel that is closed when the dial for it has ended.
func (t *Transporter) linkOrDial(to Peer) (*link, <-chan struct{}, error) {
	if t.isPartitioned(to.Node) {
		return nil, nil, PartitionedError{Node: to.Node}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peerStateLocked(to)
	switch {
	case t.closing:
		return nil, nil, errClosed
	case p.link != nil:
		return p.link, nil, nil
	case p.dialling != nil:
		return nil, p.dialling, nil
	case time.Now().Before(p.retryAt):
		return nil, nil, BackOffError{Peer: to, Last: p.lastErr}
	}
	p.dialling = make(chan struct{})
	t.wait.Go(func() { t.dialFor(to, p) })
	return nil, p.dialling, nil
}

func (t *Transporter) dialFor(to Peer, p *peerState) {
	l, run, err := t.dial(to)
	t.mu.Lock()
	done := p.dialling
	p.dialling = nil
	p.lastErr = err
	t.totals.Dials++
	if err == nil {
		p.failures = 0
		p.link = l
		t.links[l] = struct{}{}
	} else {
		t.totals.FailedDials++
		p.failures++
		p.retryAt = time.Now().Add(t.backOff(p.failures).Std())
	}
	t.mu.Unlock()
	close(done)
	if err == nil {
		run()
	}
}

// backOff doubles with each failure; its jitter keeps the fleet from dialling a recovered peer at the same moment.
func (t *Transporter) backOff(failures int) clock.Duration {
	d := t.options.MinBackOff << min(failures-1, 16)
	d = min(d, t.options.MaxBackOff)
	return d/2 + clock.Duration(rand.Int64N(int64(d/2)+1))
}

// dial establishes a link; run serves the link and returns when it ends.
func (t *Transporter) dial(to Peer) (_ *link, run func(), _ error) {
	ctx, cancel := context.WithTimeout(context.Background(), t.options.DialTimeout.Std())
	defer cancel()
	if err := t.evictIdleLink(); err != nil {
		return nil, nil, err
	}
	address, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("address of node %s: %w", to.Node, err)
	}
	conn, err := t.transport.Dial(ctx, address, withProtocol(t.options.ClientTLS), t.config)
	if err != nil {
		return nil, nil, err
	}
	l := t.newLink(conn, true)
	if err := l.sendHello(ctx, to.Node); err != nil {
		l.closeNow(codeGoodbye)
		return nil, nil, err
	}
	r, h, err := l.readHello(ctx)
	if err != nil {
		l.closeNow(codeGoodbye)
		return nil, nil, err
	}
	if to.Node != "" && h.node != to.Node {
		l.closeNow(codeGoodbye)
		return nil, nil, WrongNodeError{Want: to.Node, Got: h.node}
	}
	l.peer.Store(&h.node)
	return l, func() { l.run(conn.Context(), r) }, nil
}

// evictIdleLink starts to close the dialled link that has been idle longest if MaxLinks are open.
func (t *Transporter) evictIdleLink() error {
	now := time.Now()
	var longestIdle *link
	count := 0
	for _, l := range t.currentLinks() {
		if !l.dialled {
			continue
		}
		count++
		idle := l.idleFor(now)
		if idle > 0 && (longestIdle == nil || idle > longestIdle.idleFor(now)) {
			longestIdle = l
		}
	}
	if count < t.options.MaxLinks {
		return nil
	}
	if longestIdle == nil {
		return errTooManyLinks
	}
	longestIdle.startClose()
	return nil
}

// addAcceptedLink makes an accepted link usable for calls of this node too.
func (t *Transporter) addAcceptedLink(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	t.links[l] = struct{}{}
	p := peerStateIn(t.peers, l.node())
	if p.link == nil {
		p.link = l
	}
	return true
}

// detachLink makes sure that new calls don't use the link.
func (t *Transporter) detachLink(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	detachLinkIn(t.peers, l)
	detachLinkIn(t.peersByAddress, l)
}

func detachLinkIn[K comparable](m map[K]*peerState, l *link) {
	for key, p := range m {
		if p.link != l {
			continue
		}
		p.link = nil
		if p.disposable() {
			delete(m, key)
		}
	}
}

// disposable reports whether the peer's entry can be deleted. If entries were kept, a fleet that replaces 1,900 VMs a
// day would accumulate one for each node id that it ever had.
func (p *peerState) disposable() bool {
	busy := p.link != nil || p.dialling != nil || p.sending || len(p.queue) > 0
	return !busy && time.Now().After(p.retryAt)
}

func pruneDisposable[K comparable](m map[K]*peerState) {
	for key, p := range m {
		if p.disposable() {
			delete(m, key)
		}
	}
}

// removeLink removes a link that has ended and adds its counts to the totals.
func (t *Transporter) removeLink(l *link) {
	t.detachLink(l)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.links[l]; known {
		t.totals.add(l)
		delete(t.links, l)
	}
}
