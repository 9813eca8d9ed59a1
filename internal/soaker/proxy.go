package soaker

// A proxy on the loopback interface injects network faults, so that the programs under test run unmodified. A silenced
// connection stays open and carries no data, as during a network partition; only a timeout detects it.
//
// Example: p.Set(Silenced) silences all connections, p.Set(Passing) lets new ones through; silenced ones stay silent.

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Treatment is what a proxy does to the data of its connections.
type Treatment int32

// The treatments of a connection.
const (
	Passing Treatment = iota
	// Delayed passes all bytes 200 ms late.
	Delayed
	// DroppingToTarget drops data sent to the target, DroppingFromTarget data sent by it.
	DroppingToTarget
	DroppingFromTarget
	// Silenced drops data in both directions; connections it affects stay silenced after the fault is over.
	Silenced
	// Resetting resets all connections, open ones and new ones.
	Resetting
)

// addedDelay is the delay that Delayed adds; it is well above a round-trip time and below most timeouts.
const addedDelay = 200 * time.Millisecond

// Proxy forwards TCP connections to one address.
type Proxy struct {
	// address is where the listener listens; it is closed while connections are refused.
	address   string
	listener  net.Listener
	target    string
	treatment atomic.Int32
	mu        sync.Mutex
	open      map[*connectionPair]bool
}

type connectionPair struct {
	near, far net.Conn
	// silenced connections carry no data for the rest of their life.
	silenced atomic.Bool
}

// NewProxy listens on a free port of the loopback interface.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: l.Addr().String(), listener: l, target: target, open: map[*connectionPair]bool{}}
	go p.accept(l)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string {
	return p.address
}

// Refuse resets all connections and refuses new ones, as if the target had ended; Accept ends that.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.open {
		c.reset()
	}
}

// Accept accepts connections again.
func (p *Proxy) Accept() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// Set changes the treatment of all connections from now on.
func (p *Proxy) Set(t Treatment) {
	p.treatment.Store(int32(t))
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		switch t {
		case Silenced:
			c.silenced.Store(true)
		case Resetting:
			c.reset()
		case Passing, Delayed, DroppingToTarget, DroppingFromTarget:
		}
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.Set(Resetting)
}

func (p *Proxy) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *Proxy) serve(near net.Conn) {
	c := &connectionPair{near: near}
	switch Treatment(p.treatment.Load()) {
	case Resetting:
		reset(near)
		return
	case Silenced:
		c.silenced.Store(true)
	case Passing, Delayed, DroppingToTarget, DroppingFromTarget:
	}
	var d net.Dialer
	far, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	c.far = far
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(c, c.far, c.near, DroppingToTarget); done <- struct{}{} }()
	go func() { p.copy(c, c.near, c.far, DroppingFromTarget); done <- struct{}{} }()
	<-done
	c.close()
	<-done
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
}

const copyBufferBytes = 16 << 10

// copy forwards bytes until one side closes; dropping is the treatment that drops data in this direction.
func (p *Proxy) copy(c *connectionPair, to, from net.Conn, dropping Treatment) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		t := Treatment(p.treatment.Load())
		if t == dropping {
			// The dropped bytes leave a gap in the stream, so no later bytes may be forwarded.
			c.silenced.Store(true)
		}
		if t == Delayed {
			time.Sleep(addedDelay)
		}
		if n > 0 && !c.silenced.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *connectionPair) close() {
	_ = c.near.Close()
	_ = c.far.Close()
}

func (c *connectionPair) reset() {
	reset(c.near)
	reset(c.far)
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
