package pipeliner

// net/http's server handles the requests of a connection one after the other. A Pipeliner wraps it with a listener, whose
// connections read ahead, and with a handler, which gives the server the answers to requests that were started before
// their turn.
//
// Example: p := New(o); server := &http.Server{Handler: p, ConnContext: p.Context}; server.Serve(p.Listen(l))

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/reserver"
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
	// Memory is the pool from which room for what connections hold is taken; nil means that there is no bound.
	Memory *reserver.Pool
	// MaxHead is the length of the longest head, with its request line; 0 means DefaultMaxHead.
	MaxHead int
	// HeadLimit returns a lower bound than MaxHead that is in force at present, 0 for none; nil means that there is never one.
	HeadLimit func() int
	// KeepsBodies is whether the handler keeps the bodies that it reads until it has answered; they then count as held.
	KeepsBodies bool
	// Room returns whether there is room for a further connection beside the given number of this pipeliner's; without it, a new one
	// takes the place of one from which no request is being served, if there is any. Nil means that any number fits.
	Room func(open int) Room
	// Refused is called for each connection that is refused or closed; nil calls nothing.
	Refused func(RefusalReason, net.Addr)
}

// Room is how much room there is for connections.
type Room uint8

// How much room there is.
const (
	// AmpleRoom means that a further connection fits.
	AmpleRoom Room = iota
	// ScarceRoom means that it should take the place of one that has had time to send a request.
	ScarceRoom
	// NoRoom means that it should take the place of any one without a request.
	NoRoom
)

// minYieldAge is how long a new connection may take to send its first request while room is scarce.
const minYieldAge = 100 * time.Millisecond

// DefaultMaxHead is the length of the longest head that net/http's server reads.
const DefaultMaxHead = http.DefaultMaxHeaderBytes

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
	if o.Memory == nil {
		o.Memory = reserver.New(math.MaxInt64)
	}
	if o.MaxHead == 0 {
		o.MaxHead = DefaultMaxHead
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
	l.pipeliner.makeRoom()
	c := newConnection(inner, l.pipeliner)
	l.pipeliner.add(c)
	return c, nil
}

// makeRoom closes a connection from which no request is being served if no further one fits.
func (p *Pipeliner) makeRoom() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.Room == nil {
		return
	}
	room := p.options.Room(len(p.connections))
	if room == AmpleRoom {
		return
	}
	openedBefore := time.Now()
	if room == ScarceRoom {
		openedBefore = openedBefore.Add(-minYieldAge)
	}
	// The order of a map's entries is random: no caller can keep its connection by its place in it.
	for c := range p.connections {
		if c.yield(openedBefore) {
			delete(p.connections, c)
			p.report(TooManyConnections, c.Conn)
			return
		}
	}
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
