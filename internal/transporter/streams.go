// Opening a stream for every call costs two packets more (its end, and the credit for another stream) and a
// goroutine's start at the peer. So a stream carries one call at a time, and after a whole exchange it waits for
// the next. Only a stream on which both ends know that request and answer were whole is used again: a late byte of
// an abandoned exchange would otherwise reach another caller.
//
// Example: call 1 is answered whole, call 2 takes its stream; call 2 is cancelled, its stream is reset and gone.

package transporter

import (
	"context"

	"github.com/quic-go/quic-go"
)

// maxIdleStreams bounds what a peak of calls leaves behind on one link.
const maxIdleStreams = 64

// acquireStream returns an idle stream or opens one.
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

// releaseStream keeps the stream of a whole exchange for the next call.
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
