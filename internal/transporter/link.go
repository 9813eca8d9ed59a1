// A link is one QUIC connection that both nodes use for calls. Neither node may close it while the other could be
// opening a stream, since it would be unknown whether that call ran. So a node that wants to close a link sends a
// goodbye frame, after which it opens no more streams; the other node answers with a goodbye; each sends a finished
// frame when its own calls have their answers; and only then is the connection closed.
//
// Example: dialler "goodbye", acceptor "goodbye", both "finished", close. Without this handshake a call on an idle
// link that is closed at the same moment would fail as one that may have run.

package transporter

import (
	"bufio"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

type closeCode = quic.ApplicationErrorCode

// Codes of closed connections.
const (
	codeGoodbye closeCode = iota
	// codeNotHandled means that no stream of the connection has reached a handler.
	codeNotHandled
	codePartitioned
	codeMalformed
	// codePeerTimeout means that no packet arrived from the peer for PeerTimeout while calls were under way.
	codePeerTimeout
)

// Codes of reset streams.
const (
	// streamRestUnwanted means that the rest of a body is not needed.
	streamRestUnwanted quic.StreamErrorCode = iota
	// streamNotHandled means that the call did not reach a handler.
	streamNotHandled
	streamAborted
	streamCancelled
)

type link struct {
	t       *Transporter
	conn    *quic.Conn
	dialled bool
	// peer is set once, before the link is used.
	peer atomic.Pointer[identifier.Node]
	// calls counts the calls sent and not yet answered, and the batches of control messages being written; serving counts
	// the calls received and not yet answered.
	calls   atomic.Int32
	serving atomic.Int32
	lastUse atomic.Int64

	// idle holds the streams whose last exchange was complete.
	idleMu sync.Mutex
	idle   []*quic.Stream

	peerMonitor peerMonitor

	controlMu sync.Mutex
	control   *quic.SendStream

	mu sync.Mutex
	// goodbyeSent is true when this node has begun to close the link, goodbyeReceived when the peer has.
	goodbyeSent, goodbyeReceived bool
	// finishedSent is true when this node has the answers to all its calls, finishedReceived when the peer has.
	finishedSent, finishedReceived bool
}

func (t *Transporter) newLink(conn *quic.Conn, dialled bool) *link {
	l := &link{t: t, conn: conn, dialled: dialled}
	l.touch()
	return l
}

func (l *link) node() identifier.Node {
	if n := l.peer.Load(); n != nil {
		return *n
	}
	return ""
}

func (l *link) touch() {
	l.lastUse.Store(time.Now().UnixNano())
}

// idleFor returns how long the link has been unused; 0 while a call is under way.
func (l *link) idleFor(now time.Time) time.Duration {
	if l.calls.Load() > 0 || l.serving.Load() > 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - l.lastUse.Load())
}

// closeNow closes the connection at once; calls under way fail.
func (l *link) closeNow(code closeCode) {
	_ = l.conn.CloseWithError(code, "")
}

// beginCall counts a new call and returns true, unless the link is closed or this node has begun to close it.
func (l *link) beginCall() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.goodbyeSent || l.conn.Context().Err() != nil {
		return false
	}
	l.calls.Add(1)
	return true
}

// endCall counts the end of a call.
func (l *link) endCall() {
	l.touch()
	if l.calls.Add(-1) == 0 {
		l.continueClose()
	}
}

// startClose sends the goodbye frame, once, and takes the link out of use for new calls.
func (l *link) startClose() {
	l.mu.Lock()
	first := !l.goodbyeSent
	l.goodbyeSent = true
	l.mu.Unlock()
	if !first {
		return
	}
	l.t.detachLink(l)
	go func() {
		if l.sendControl(frameGoodbye, nil) != nil {
			l.closeNow(codeGoodbye)
			return
		}
		l.continueClose()
	}()
}

// continueClose sends the finished frame when it is due, and closes the connection when both nodes have sent theirs. A
// node whose own frame is the second of the two leaves the closing to the peer, which closes on receiving it; if the node
// closed at once, that frame could be lost.
func (l *link) continueClose() {
	l.mu.Lock()
	due := l.goodbyeSent && l.goodbyeReceived && !l.finishedSent && l.calls.Load() == 0
	if due {
		l.finishedSent = true
	}
	bothFinished := l.finishedSent && l.finishedReceived
	l.mu.Unlock()
	if bothFinished && !due {
		l.closeNow(codeGoodbye)
		return
	}
	if due {
		go l.sendFinished()
	}
}

func (l *link) sendFinished() {
	if l.sendControl(frameFinished, nil) != nil {
		l.closeNow(codeGoodbye)
		return
	}
}

func (l *link) handleGoodbye() {
	l.mu.Lock()
	l.goodbyeReceived = true
	l.mu.Unlock()
	l.startClose()
	l.continueClose()
}

func (l *link) handleFinished() {
	l.mu.Lock()
	l.finishedReceived = true
	l.mu.Unlock()
	l.continueClose()
}

// acceptLink exchanges hellos on a connection that another node dialled, and serves the link until it ends.
func (t *Transporter) acceptLink(ctx context.Context, conn *quic.Conn) {
	l := t.newLink(conn, false)
	r, h, err := l.readHello(ctx)
	if err != nil {
		l.closeNow(codeMalformed)
		return
	}
	if t.rejects(h) {
		l.closeNow(codeNotHandled)
		return
	}
	l.peer.Store(&h.node)
	if l.sendHello(ctx, h.node) != nil || !t.addAcceptedLink(l) {
		l.closeNow(codeNotHandled)
		return
	}
	l.run(ctx, r)
}

// A restarted process listens at the same address under a new node id. A message for the old process, a grant for
// instance, must not reach the new one, so a hello to another node id is rejected.
func (t *Transporter) rejects(h hello) bool {
	wrong := h.to != "" && h.to != t.options.Self
	t.mu.Lock()
	defer t.mu.Unlock()
	return wrong || t.closing || t.isPartitioned(h.node)
}

// run serves the link until the connection ends.
func (l *link) run(ctx context.Context, control *bufio.Reader) {
	l.t.wait.Go(func() { l.readControl(control) })
	for {
		s, err := l.conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		l.t.wait.Go(func() { l.serveStream(s) })
	}
	l.closeNow(codeGoodbye)
	l.t.removeLink(l)
}

// sendHello opens this node's control stream and sends the hello on it.
func (l *link) sendHello(ctx context.Context, to identifier.Node) error {
	s, err := l.conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	b := getBuffer()
	defer putBuffer(b)
	h := hello{node: l.t.options.Self, domain: l.t.options.Domain, to: to}
	if err := appendFrame(b, "hello", helloToWire(h), l.t.options.MaxHead); err != nil {
		return err
	}
	l.control = s
	_, err = s.Write(b.Bytes())
	return err
}

// readHello waits for the peer's control stream and its hello.
func (l *link) readHello(ctx context.Context) (*bufio.Reader, hello, error) {
	ctx, cancel := context.WithTimeout(ctx, l.t.options.DialTimeout.Std())
	defer cancel()
	s, err := l.conn.AcceptUniStream(ctx)
	if err != nil {
		return nil, hello{}, err
	}
	_ = s.SetReadDeadline(time.Now().Add(l.t.options.DialTimeout.Std()))
	r := bufio.NewReaderSize(s, 1<<10)
	var h hello
	err = readFrame(r, "hello", l.t.options.MaxHead, func(b []byte) error {
		h, err = decodeHello(b)
		return err
	})
	_ = s.SetReadDeadline(time.Time{})
	return r, h, err
}
