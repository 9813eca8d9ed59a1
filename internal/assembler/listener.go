// A listener that closes resets the connections that the system has set up and the node has not accepted: their callers have
// connected, may have sent a request, and get no answer. Therefore a listener accepts what waits before it closes.
//
// Example: at the bound of connections a fifth caller waits; a stop begins; another connection ends with its answer; the fifth
// is accepted and answered, and only then is the listener closed.

package assembler

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// emptyAfter is how long no connection must have waited before a closing listener closes; package net tries to accept only if
// the deadline lies ahead.
const emptyAfter = time.Millisecond

// listener bounds the number of open connections; more wait until one closes.
type listener struct {
	*net.TCPListener
	slots   chan struct{}
	closing atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func listen(address string, maxConnections int64) (*listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{
		TCPListener: inner.(*net.TCPListener),
		slots:       make(chan struct{}, maxConnections),
		closed:      make(chan struct{}),
	}, nil
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{TCPConn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

func (l *listener) accept() (*net.TCPConn, error) {
	for {
		closing := l.closing.Load()
		if closing {
			_ = l.SetDeadline(time.Now().Add(emptyAfter))
		}
		c, err := l.AcceptTCP()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if closing {
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
	}
}

// closeWhenEmpty lets Accept close the listener once no connection waits.
func (l *listener) closeWhenEmpty() {
	l.closing.Store(true)
	_ = l.SetDeadline(time.Now().Add(emptyAfter))
}

// Close closes the listener at once; closing it again has no effect.
func (l *listener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.closed)
		err = l.TCPListener.Close()
	})
	return err
}

// boundedConn is a connection that counts until it is closed.
type boundedConn struct {
	*net.TCPConn
	release func()
}

// Close closes the connection and lets the listener accept another one.
func (c *boundedConn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
