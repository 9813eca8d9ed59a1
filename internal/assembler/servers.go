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

	"github.com/gorilla/mux"
	"golang.org/x/net/netutil"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/receiver"
)

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
	listener net.Listener
}

func newServers(o Options, r *receiver.Receiver, d *deliverer.Deliverer, s *stateReader) (*servers, error) {
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
		caller: newServer("caller", l.Caller.String(), callerTLS, o.Settings.Limits, caller),
		local:  newServer("local", l.Local.String(), nil, o.Settings.Limits, local),
		admin:  newServer("admin", l.Admin.String(), adminTLS, o.Settings.Limits, inspector.Handler(s)),
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

func newServer(name, listen string, t *tls.Config, l loader.Limits, h http.Handler) *server {
	return &server{
		name:   name,
		listen: listen,
		tls:    t,
		limits: l,
		http: &http.Server{
			Handler:           boundProgress(h, l.BodyIdleTimeout.Std()),
			MaxHeaderBytes:    int(l.MaxHeader),
			ReadHeaderTimeout: l.ReadHeaderTimeout.Std(),
			IdleTimeout:       l.IdleTimeout.Std(),
		},
	}
}

func (s *server) start() error {
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return fmt.Errorf("listen for %s on %s: %w", s.name, s.listen, err)
	}
	s.listener = l
	bounded := netutil.LimitListener(l, int(s.limits.MaxConnections))
	if s.tls != nil {
		bounded = tls.NewListener(bounded, s.tls)
	}
	go func() { _ = s.http.Serve(bounded) }()
	return nil
}

func (s *server) stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%s listener: calls still under way: %w", s.name, err)
	}
	return err
}

func (s *server) kill() { _ = s.http.Close() }

func (s *server) address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}
