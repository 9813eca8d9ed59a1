// Opening a stream for every call costs two more packets (the stream's end, and the credit for another stream) and the
// start of a goroutine at the peer. So a stream carries one call at a time and is reused after a complete exchange. Only
// a stream on which both nodes know that request and answer were complete is reused: otherwise a late byte of an
// abandoned exchange could reach another caller.
//
// Example: call 1 gets its complete answer, call 2 reuses the stream; call 2 is cancelled, and the stream is reset.

package transporter

import (
	"context"

	"github.com/quic-go/quic-go"
)

// maxIdleStreams bounds the idle streams that a peak of calls leaves on one link.
const maxIdleStreams = 64

// acquireStream returns an idle stream or opens a new one.
func (l *link) acquireStream(ctx context.Context) (*quic.Stream, error) {
	l.idleMu.Lock()
	if n := len(l.idle); n > 0 {
		s := l.idle[n-1]
		l.idle = l.idle[:n-1]
		l.idleMu.Unlock()
		return s, nil
	}
	l.idleMu.Unlock()
	return l.conn.OpenStreamSync(ctx)
}

// releaseStream keeps the stream of a complete exchange for the next call.
func (l *link) releaseStream(s *quic.Stream) {
	l.idleMu.Lock()
	defer l.idleMu.Unlock()
	if len(l.idle) < maxIdleStreams {
		l.idle = append(l.idle, s)
		return
	}
	_ = s.Close()
	s.CancelRead(streamRestUnwanted)
}
