package pipeliner

// The standard server takes a connection's requests one after the other. Around it stand a listener, whose connections
// backgroundRead what is sent ahead, and a handler, which gives the server the answers to requests that were begun before
// their turn.
//
// Example: p := New(o); server := &http.Server{Handler: p, ConnContext: p.Context}; server.Serve(p.Listen(l))

import (
	"context"
	"net"
	"net/http"
)

// Options set a pipeliner up.
type Options struct {
	// Handler answers requests; it must be safe for several at once.
	Handler http.Handler
	// MaxAhead is how many requests of a connection may be begun ahead of their turn; 0 begins none.
	MaxAhead int
	// MayStartAhead tells whether a request may be begun before those ahead of it are answered. One that may not run twice must
	// not: its caller sends it again where the connection ends before its turn.
	MayStartAhead func(*http.Request) bool
}

// Pipeliner serves callers that send requests ahead; it is safe for concurrent use.
type Pipeliner struct {
	options Options
}

// New returns a pipeliner.
func New(o Options) *Pipeliner {
	return &Pipeliner{options: o}
}

// Listen wraps a listener.
func (p *Pipeliner) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, options: p.options}
}

type listener struct {
	net.Listener
	options Options
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConnection(inner, l.options), nil
}

// positionKey is the key of a request's place on its connection in its context.
type positionKey struct{}

// position is a request's place: its connection, and its run if it was begun ahead of its turn.
type position struct {
	connection *connection
	run        *run
}

// Context is to be the server's ConnContext.
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

// MayClose tells a handler whether its answer may end the connection. It may not where requests behind it have been
// begun; where it may, no more are begun.
func MayClose(ctx context.Context) bool {
	current, ok := ctx.Value(positionKey{}).(position)
	return !ok || current.connection.mayClose(current.run)
}
