// A link is one QUIC connection in use by both ends. Neither end may close it while the other could be opening
// a stream: the call would be neither run nor provably not run. So an end that wants to let a link go says
// goodbye (it opens no more streams), the other end says so too, each says finished when its own calls have
// their answers, and only then is the connection closed.
//
// Example: dialler "goodbye", acceptor "goodbye", both "finished", close. Without this, an idle link closed at
// the moment of a call would show as a call that was maybe run.

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
	// codeNotHandled says that no stream of the connection has reached a handler.
	codeNotHandled
	codePartitioned
	codeMalformed
	// codePeerTimeout says that the peer was not heard for PeerTimeout while calls were under way.
	codePeerTimeout
)

// Codes of reset streams.
const (
	// streamRestUnwanted says that the rest of a body is not wanted.
	streamRestUnwanted quic.StreamErrorCode = iota
	// streamNotHandled says that the call did not reach a handler.
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
	// calls counts calls sent and not yet answered, serving those taken and not yet answered.
	calls   atomic.Int32
	serving atomic.Int32
	lastUse atomic.Int64

	// idle holds streams whose last exchange was whole.
	idleMu sync.Mutex
	idle   []*quic.Stream

	watcher watcher

	controlMu sync.Mutex
	control   *quic.SendStream

	mu sync.Mutex
	// goodbyeSent and left tell that this end, the other end, has said goodbye.
	goodbyeSent, goodbyeReceived bool
	// finishedSent and peerFinished tell that this end, the other end, has all its answers.
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

func (l *link) idleSince(now time.Time) time.Duration {
	if l.calls.Load() > 0 || l.serving.Load() > 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - l.lastUse.Load())
}

// closeNow closes the connection at once; calls under way fail.
func (l *link) closeNow(code closeCode) {
	_ = l.conn.CloseWithError(code, "")
}

// beginCall counts a new call, unless the link is being left.
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

// startClose says goodbye once.
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

// continueClose says finished when it is due, and closes the connection when both ends have said so.
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

// sendFinished tells the other end; the connection is closed by whoever hears it second, so the word is not lost.
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

// acceptLink greets a connection that another node made, and serves it until it ends.
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

// A restarted process listens at the address of its forerunner under a new id. A message meant for the old one,
// a grant for instance, must not reach the new one, so a greeting to another id is turned away.
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

// sendHello opens this end's control stream with the greeting.
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

// readHello waits for the other end's control stream and its greeting.
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
