// A listener that closes resets the connections that the system has set up or is setting up and the node has not accepted: their
// callers have connected, may have sent a request, and get no answer. Therefore a listener that stops lets no further connection
// begin, accepts those that have begun, and only then closes. Callers that try meanwhile are refused at their system's next try.
//
// Example: at the bound of connections a fifth caller waits; a stop begins; another connection ends with its answer; the fifth
// is accepted and answered, and only then is the listener closed.

package assembler

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// emptyAfter is how long no connection must have waited before a closing listener closes: the round trip in which a connection
// that has begun is set up.
const emptyAfter = time.Millisecond

// dropBeginnings is a socket filter that drops TCP segments with SYN, the first of a connection, and passes all others.
var dropBeginnings = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpSYN, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: wholeSegment},
}

const (
	// tcpFlagsOffset is where the flags stand in a TCP header, tcpSYN is that of a connection's first segment.
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	wholeSegment   = 0xffffffff
)

// listener bounds the number of open connections; more wait until one closes.
type listener struct {
	*net.TCPListener
	slots   chan struct{}
	closing atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func listen(address string, maxConnections int64) (*listener, error) {
	config := net.ListenConfig{Control: requester.BoundReceiveBuffer}
	// Multipath TCP takes no socket filter.
	config.SetMultipathTCP(false)
	inner, err := config.Listen(context.Background(), "tcp", address)
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
		if closing && !l.waiting() {
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
	}
}

// closeWhenEmpty lets no further connection begin, and Accept close the listener once none waits. Calling it again has no effect.
func (l *listener) closeWhenEmpty() error {
	if l.closing.Load() {
		return nil
	}
	err := pipeliner.WithDescriptor(l.TCPListener, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: uint16(len(dropBeginnings)), Filter: &dropBeginnings[0],
		})
	})
	l.closing.Store(true)
	// An error means that Accept has closed the listener already.
	_ = l.SetDeadline(time.Now().Add(emptyAfter))
	return err
}

// waiting returns whether a connection waits to be accepted: on a busy processor the deadline may pass before Accept has looked.
func (l *listener) waiting() bool {
	waits := false
	err := pipeliner.WithDescriptor(l.TCPListener, func(fd int) error {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = n > 0
		return err
	})
	// An error means that the listener is closed, or that a signal came first.
	return waits || errors.Is(err, unix.EINTR)
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
