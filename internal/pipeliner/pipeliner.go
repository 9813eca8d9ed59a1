package pipeliner

// net/http's server handles the requests of a connection one after the other. A Pipeliner wraps it with a listener, whose
// connections read ahead, and with a handler, which gives the server the answers to requests that were started before
// their turn.
//
// Example: p := New(o); server := &http.Server{Handler: p, ConnContext: p.Context}; server.Serve(p.Listen(l))

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options configures a pipeliner.
type Options struct {
	// Handler answers requests; it must be safe for concurrent use.
	Handler http.Handler
	// MaxAhead is how many requests of a connection may be started ahead of their turn; 0 starts none.
	MaxAhead int
	// MayStartAhead returns whether a request may be started before the earlier ones are answered. It must return false
	// for a request that may not run twice: if the connection ends before its turn, the caller sends it again.
	MayStartAhead func(*http.Request) bool
	// Context is the context from which those of requests started ahead are derived; nil means one that never ends.
	Context context.Context
}

// Pipeliner serves callers that pipeline requests; it is safe for concurrent use.
type Pipeliner struct {
	options     Options
	mu          sync.Mutex
	connections map[*connection]struct{}
	listeners   []net.Listener
	// stopped is whether no further request may be read.
	stopped bool
	// context ends when connections are closed at once.
	context context.Context
	cancel  context.CancelFunc
}

// New returns a pipeliner.
func New(o Options) *Pipeliner {
	if o.Context == nil {
		o.Context = context.Background()
	}
	// Answers to requests that were cancelled must be delivered as well, so the end of their context does not end this one.
	ctx, cancel := context.WithCancel(context.WithoutCancel(o.Context))
	return &Pipeliner{options: o, connections: map[*connection]struct{}{}, context: ctx, cancel: cancel}
}

// Load is what the connections of a pipeliner hold.
type Load struct {
	// Open is the number of connections, Answering of those with a request that was read and not answered completely, and
	// Ahead of those that have read bytes of a later request, which may be answered only after another one.
	Open, Answering, Ahead int
}

// Load returns what the connections hold.
func (p *Pipeliner) Load() Load {
	l := Load{}
	for _, c := range p.snapshot() {
		answering, ahead := c.load()
		l.Open++
		if answering {
			l.Answering++
		}
		if ahead {
			l.Ahead++
		}
	}
	return l
}

// StopReading closes the listeners and lets no further request be read. Requests that have been read are answered; each
// connection ends with the last of its answers, an idle one at once.
func (p *Pipeliner) StopReading() error {
	p.mu.Lock()
	p.stopped = true
	listeners := p.listeners
	p.mu.Unlock()
	var failed []error
	for _, l := range listeners {
		failed = append(failed, l.Close())
	}
	for _, c := range p.snapshot() {
		c.stopReading()
	}
	return errors.Join(failed...)
}

// StopReadingOpened lets no further request be read from connections that were opened before a time; they end as in StopReading.
func (p *Pipeliner) StopReadingOpened(before time.Time) {
	for _, c := range p.snapshot() {
		if c.openedAt.Before(before) {
			c.stopReading()
		}
	}
}

// Close closes all connections at once, whatever they hold.
func (p *Pipeliner) Close() {
	p.cancel()
	for _, c := range p.snapshot() {
		// An error means that the connection is closed already.
		_ = c.Close()
	}
}

// snapshot returns the open connections.
func (p *Pipeliner) snapshot() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*connection, 0, len(p.connections))
	for c := range p.connections {
		all = append(all, c)
	}
	return all
}

func (p *Pipeliner) add(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.stopped = p.stopped
	p.connections[c] = struct{}{}
}

func (p *Pipeliner) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// Listen wraps a listener so that its connections read ahead.
func (p *Pipeliner) Listen(inner net.Listener) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, inner)
	return &listener{Listener: inner, pipeliner: p}
}

type listener struct {
	net.Listener
	pipeliner *Pipeliner
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConnection(inner, l.pipeliner)
	l.pipeliner.add(c)
	return c, nil
}

// positionKey is the context key for a request's position.
type positionKey struct{}

// position is a request's connection, and its run if it was started ahead of its turn.
type position struct {
	connection *connection
	run        *run
}

// Context must be set as the server's ConnContext.
func (p *Pipeliner) Context(ctx context.Context, inner net.Conn) context.Context {
	if c, ok := inner.(*connection); ok {
		return context.WithValue(ctx, positionKey{}, position{connection: c})
	}
	return ctx
}

// ServeHTTP answers a request whose turn has come.
func (p *Pipeliner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current, ok := r.Context().Value(positionKey{}).(position)
	if !ok {
		p.options.Handler.ServeHTTP(w, r)
		return
	}
	handedRun := current.connection.serve(r)
	defer current.connection.served()
	if handedRun == nil {
		p.options.Handler.ServeHTTP(w, r)
		return
	}
	handedRun.answer(w)
}

// MayClose returns whether a handler's answer may end the connection. It may not if later requests have been started; if
// it may, no more are started.
func MayClose(ctx context.Context) bool {
	current, ok := ctx.Value(positionKey{}).(position)
	return !ok || current.connection.mayClose(current.run)
}

// HoldFollowers lets no further request be started behind a handler's, and returns whether one has been: its answer is lost if the
// handler's own breaks off, since an answer that has begun can end early only together with the connection.
func HoldFollowers(ctx context.Context) (followed bool) {
	current, ok := ctx.Value(positionKey{}).(position)
	return ok && current.connection.holdFollowers(current.run)
}
