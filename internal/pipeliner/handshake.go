package pipeliner

// A TLS handshake holds its messages until each is complete, up to 64 KiB, before anything of it can be refused. What it has read
// counts as held until the caller's first byte has been decrypted.
//
// Example: a ClientHello of 64 KiB of which the last byte never comes holds 64 KiB of the pool.

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// ListenTLS is like Listen, for callers that use TLS.
func (p *Pipeliner) ListenTLS(inner net.Listener, c *tls.Config) net.Listener {
	return p.Listen(&tlsListener{Listener: inner, config: c, memory: p.options.Memory})
}

type tlsListener struct {
	net.Listener
	config *tls.Config
	memory *reserver.Pool
}

// Accept waits for the next connection, whose handshake begins with its first read.
func (l *tlsListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tls.Server(&handshakeConn{Conn: c, account: l.memory.Account()}, l.config), nil
}

// handshakeConn counts what a handshake has read, until it ends or the connection is closed.
type handshakeConn struct {
	net.Conn

	mu      sync.Mutex
	account reserver.Account
	read    int64
	ended   bool
}

// Read reads from the connection.
func (c *handshakeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return n, err
	}
	c.read += int64(n)
	if failed := c.account.Resize(c.read); failed != nil {
		return 0, failed
	}
	return n, err
}

// Close closes the connection.
func (c *handshakeConn) Close() error {
	c.endHandshake()
	return c.Conn.Close()
}

// endHandshake gives back what the handshake holds.
func (c *handshakeConn) endHandshake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	// Giving back needs no room.
	_ = c.account.Resize(0)
}

// SyscallConn returns the connection's descriptor.
func (c *handshakeConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// endHandshake ends the handshake of a connection from which something has been read, if it is encrypted.
func endHandshake(n net.Conn) {
	if encrypted, ok := n.(*tls.Conn); ok {
		if c, ok := encrypted.NetConn().(*handshakeConn); ok {
			c.endHandshake()
		}
	}
}
