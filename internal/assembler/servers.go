// Every listener limits header size, header read time, idle time and number of connections, so that a caller that opens
// connections without sending requests cannot make the node unavailable to others.

package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/receiver"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// acceptTimeout is how long a stop lets a connection that was just accepted send its first request.
const acceptTimeout = 100 * time.Millisecond

// cancelTimeout bounds how long requests that are cancelled at the end of a stop may take to be answered.
const cancelTimeout = time.Second

type servers struct {
	caller *server
	local  *server
	admin  *server
}

type server struct {
	name     string
	listen   string
	tls      *tls.Config
	limits   loader.Limits
	http     *http.Server
	listener *listener
	// pipeliner knows which connections hold a request that was read and not answered.
	pipeliner *pipeliner.Pipeliner
	leaving   atomic.Bool
	// cancelRequests ends the requests at work.
	cancelRequests context.CancelCauseFunc
	// accepted is closed when no more connections are accepted.
	accepted chan struct{}
}

// bounds are those that all listeners of a node share: the memory that their connections may hold, and what was refused for it.
type bounds struct {
	memory   *reserver.Pool
	refusals *refusals
}

func newBounds(o Options, c *clock.Clock) (*bounds, error) {
	memory := o.Settings.Limits.Memory
	if memory == 0 {
		var err error
		if memory, err = reserver.MachineMemory(); err != nil {
			return nil, err
		}
	}
	return &bounds{memory: reserver.New(reserver.PartOf(memory)), refusals: newRefusals(o.Logger, c)}, nil
}

func newServers(o Options, r *receiver.Receiver, d *deliverer.Deliverer, s *stateReader, b *bounds) (*servers, error) {
	l := o.Settings.Listen
	callerTLS, err := callerTLS(o.Settings.CallerCertificates)
	if err != nil {
		return nil, err
	}
	var adminTLS *tls.Config
	if l.AdminNeedsTLS() {
		adminTLS = operatorsTLS(o)
	}
	local := mux.NewRouter().SkipClean(true).UseEncodedPath()
	d.Routes(local, s)
	local.PathPrefix("/").Handler(r.Nested())
	caller := mux.NewRouter().SkipClean(true).UseEncodedPath()
	caller.PathPrefix("/").Handler(r.Callers())
	return &servers{
		caller: newServer("caller", l.Caller.String(), callerTLS, o.Settings.Limits, caller, b),
		local:  newServer("local", l.Local.String(), nil, o.Settings.Limits, local, b),
		admin:  newServer("admin", l.Admin.String(), adminTLS, o.Settings.Limits, inspector.Handler(s), b),
	}, nil
}

func callerTLS(c loader.CallerCertificates) (*tls.Config, error) {
	if c.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, fmt.Errorf("callerCertificates: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// OperatorError reports a valid operator certificate whose name is not in the settings' list of operators.
type OperatorError struct{ Name string }

// Error names the operator.
func (e OperatorError) Error() string { return "operator " + e.Name + " is not listed in the settings" }

func operatorsTLS(o Options) *tls.Config {
	c := o.Trust.Server(nil, certifier.Operator)
	verify := c.VerifyConnection
	c.VerifyConnection = func(s tls.ConnectionState) error {
		if verify != nil {
			if err := verify(s); err != nil {
				return err
			}
		}
		return checkOperator(o.Settings.Operators, s)
	}
	return c
}

func checkOperator(allowed []string, s tls.ConnectionState) error {
	if len(allowed) == 0 {
		return nil
	}
	id, err := certifier.Peer(s)
	if err != nil {
		return err
	}
	if !slices.Contains(allowed, id.Name) {
		return OperatorError{Name: id.Name}
	}
	return nil
}

// headSlack is how much longer than its limit a head may be before it is refused, as in net/http.
const headSlack = 4 << 10

func newServer(name, listen string, t *tls.Config, l loader.Limits, h http.Handler, b *bounds) *server {
	s := &server{name: name, listen: listen, tls: t, limits: l, accepted: make(chan struct{})}
	s.pipeliner = pipeliner.New(pipeliner.Options{
		Handler: announceClose(boundProgress(h, l.BodyIdleTimeout.Std()), s.leaving.Load),
		Memory:  b.memory,
		MaxHead: int(l.MaxHeader) + headSlack,
		Refused: func(reason pipeliner.RefusalReason, from net.Addr) { b.refusals.add(name, reason, from) },
	})
	requests, cancel := context.WithCancelCause(context.Background())
	s.cancelRequests = cancel
	s.http = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return requests },
		Handler:           s.pipeliner,
		ConnContext:       s.pipeliner.Context,
		MaxHeaderBytes:    int(l.MaxHeader),
		ReadHeaderTimeout: l.ReadHeaderTimeout.Std(),
		IdleTimeout:       l.IdleTimeout.Std(),
	}
	return s
}

func (s *server) start() error {
	l, err := listen(s.listen, s.limits.MaxConnections)
	if err != nil {
		return fmt.Errorf("listen for %s on %s: %w", s.name, s.listen, err)
	}
	s.listener = l
	var served net.Listener
	if s.tls == nil {
		served = s.pipeliner.Listen(l)
	} else {
		served = s.pipeliner.ListenTLS(l, s.tls)
	}
	go func() {
		defer close(s.accepted)
		_ = s.http.Serve(served)
	}()
	return nil
}

// startStop closes the listener and lets each answer end its connection. Requests on open connections are served. After an error
// the listener closes as well, but may reset connections that are being set up.
func (s *server) startStop() error {
	s.leaving.Store(true)
	if err := s.listener.closeWhenEmpty(); err != nil {
		return fmt.Errorf("%s listener: let no connection begin: %w", s.name, err)
	}
	return nil
}

// stop reads no more requests and waits until those that were read are answered and all connections have ended. Requests that are
// at work when ctx ends are cancelled and answered.
func (s *server) stop(ctx context.Context) error {
	startErr := s.startStop()
	if startErr == nil {
		s.awaitAccepted(ctx)
	}
	s.awaitFirstRequests(ctx)
	if err := s.pipeliner.StopReading(); err != nil {
		return errors.Join(startErr, fmt.Errorf("%s listener: %w", s.name, err))
	}
	if s.awaitEnd(ctx) {
		return startErr
	}
	s.cancelRequests(receiver.ErrStopped)
	cancelledCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	s.awaitEnd(cancelledCtx)
	return errors.Join(startErr, fmt.Errorf("%s listener: calls still under way: %w", s.name, ctx.Err()))
}

// awaitAccepted waits until the listener has accepted the connections that wait. At the bound of connections they get the room of
// those that are idle, or have their answers.
func (s *server) awaitAccepted(ctx context.Context) {
	t := time.NewTicker(acceptTimeout)
	defer t.Stop()
	for {
		select {
		case <-s.accepted:
			return
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.pipeliner.StopReadingOpened(now.Add(-acceptTimeout))
		}
	}
}

// awaitFirstRequests lets connections that were just accepted send a request; all others end.
func (s *server) awaitFirstRequests(ctx context.Context) {
	s.pipeliner.StopReadingOpened(time.Now().Add(-acceptTimeout))
	limited, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	s.awaitEnd(limited)
}

// awaitEnd waits until all connections have ended, and returns whether they have before ctx ends.
func (s *server) awaitEnd(ctx context.Context) bool {
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	for s.pipeliner.Load().Open > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}

func (s *server) kill() {
	s.pipeliner.Close()
	_ = s.http.Close()
}

func (s *server) address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}
