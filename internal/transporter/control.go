// Control messages are best effort: a reducer that needs one to arrive sends it again. A slow or dead peer must neither
// block the sender's event loop nor fill its memory. So messages wait in a bounded queue and the event loop goes on;
// when the queue is full, the new message is dropped and SendControl returns an error.
//
// Example: a peer that is unreachable for a minute costs at most MaxQueue messages of memory, and nothing waits for it.

package transporter

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
)

// Kinds of frames on a control stream.
const (
	frameMessage byte = iota
	frameGoodbye
	frameFinished
	// frameProbe has no meaning of its own; the peer's QUIC layer acknowledges it, which shows that the peer is alive.
	frameProbe
)

// SendControl queues a message for the peer and returns at once. It owns the message's bytes from then on; a nil error
// does not mean that the message will arrive.
func (t *Transporter) SendControl(to Peer, message []byte) error {
	if len(message) > t.options.MaxMessage {
		return TooLargeError{What: "control message", Size: len(message), Limit: t.options.MaxMessage}
	}
	if t.isPartitioned(to.Node) {
		return PartitionedError{Node: to.Node}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return errClosed
	}
	p := t.peerStateLocked(to)
	if len(p.queue) >= t.options.MaxQueue || p.queueBytes+len(message) > t.options.MaxQueueBytes {
		t.totals.ControlDropped++
		return OverflowError{Node: to.Node}
	}
	p.queue = append(p.queue, message)
	p.queueBytes += len(message)
	if !p.sending {
		p.sending = true
		t.wait.Go(func() { t.sendQueue(to, p) })
	}
	return nil
}

// sendQueue sends the queued messages of a peer and returns when the queue is empty or the peer can't be reached.
func (t *Transporter) sendQueue(to Peer, p *peerState) {
	for {
		l, err := t.acquire(context.Background(), to)
		batch := t.drainQueue(p)
		if err == nil {
			err = l.sendBatch(batch)
			l.endCall()
		}
		if t.finishBatch(p, batch, err) {
			return
		}
	}
}

func (t *Transporter) drainQueue(p *peerState) [][]byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	batch := p.queue
	p.queue = nil
	p.queueBytes = 0
	return batch
}

// finishBatch counts the batch and reports whether sendQueue may return: the queue is empty, or the peer can't be
// reached, in which case the queued messages are dropped.
func (t *Transporter) finishBatch(p *peerState, batch [][]byte, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.totals.ControlDropped += uint64(len(batch) + len(p.queue))
	} else {
		t.totals.ControlSent += uint64(len(batch))
		for _, m := range batch {
			t.totals.ControlBytes += uint64(len(m))
		}
	}
	if err == nil && len(p.queue) > 0 {
		return false
	}
	p.queue = nil
	p.queueBytes = 0
	p.sending = false
	return true
}

// sendBatch writes the messages, several small ones in one write.
func (l *link) sendBatch(batch [][]byte) error {
	l.touch()
	l.controlMu.Lock()
	defer l.controlMu.Unlock()
	b := getBuffer()
	defer putBuffer(b)
	for m := range slices.Values(batch) {
		if b.Len() > 0 && b.Len()+len(m) > maxCoalesced {
			if err := l.writeControl(b); err != nil {
				return err
			}
		}
		b.WriteByte(frameMessage)
		appendChunk(b, m)
	}
	return l.writeControl(b)
}

func (l *link) writeControl(b *bytes.Buffer) error {
	if b.Len() == 0 {
		return nil
	}
	_, err := l.control.Write(b.Bytes())
	b.Reset()
	return err
}

func (l *link) sendControl(kind byte, body []byte) error {
	l.controlMu.Lock()
	defer l.controlMu.Unlock()
	return l.writeFrame(kind, body)
}

func (l *link) writeFrame(kind byte, body []byte) error {
	b := getBuffer()
	defer putBuffer(b)
	b.WriteByte(kind)
	appendChunk(b, body)
	return l.writeControl(b)
}

// readControl handles the peer's control frames until the link ends.
func (l *link) readControl(r *bufio.Reader) {
	for {
		kind, body, err := readControlFrame(r, l.t.options.MaxMessage)
		if err != nil {
			l.closeNow(controlEndCode(err))
			return
		}
		switch kind {
		case frameGoodbye:
			l.handleGoodbye()
		case frameFinished:
			l.handleFinished()
		case frameMessage:
			l.handleMessage(body)
		}
	}
}

func (l *link) handleMessage(body []byte) {
	l.touch()
	if l.t.isPartitioned(l.node()) {
		return
	}
	l.t.handler.ServeControl(l.node(), body)
}

func readControlFrame(r *bufio.Reader, limit int) (byte, []byte, error) {
	kind, err := r.ReadByte()
	if err != nil {
		return 0, nil, asUnexpectedEOF(err)
	}
	if kind > frameProbe {
		return 0, nil, MalformedError{What: "control frame", Err: errLength}
	}
	size, err := readLength(r, "control message", limit)
	if err != nil {
		return 0, nil, err
	}
	body := make([]byte, size)
	_, err = io.ReadFull(r, body)
	return kind, body, asUnexpectedEOF(err)
}

func controlEndCode(err error) (code closeCode) {
	var malformed MalformedError
	if errors.As(err, &malformed) {
		return codeMalformed
	}
	return codeGoodbye
}
