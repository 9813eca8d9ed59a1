// Runs the stand-in for a backend server as a separate process. It may start before its node listens, so its
// announcement is retried. At a planned stop it leaves as a real backend server should: it takes no new calls,
// finishes those in flight, and then exits.
//
// Example: Backend(ctx, p, BackendOptions{Node: "http://127.0.0.1:8081", Service: "ice", Slots: 40}).

package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/responder"
)

const (
	announceTimeout       = 30 * time.Second
	announceRetryInterval = 200 * time.Millisecond
	leaveTimeout          = 10 * time.Minute
)

// PathError reports a nested call that does not have the form /service/path.
type PathError struct{ Path string }

// Error returns the path and the expected form.
func (e PathError) Error() string { return fmt.Sprintf("call: %q: want /service/path", e.Path) }

// Backend runs a stand-in for a backend server until ctx is done, and then stops it as planned.
func Backend(ctx context.Context, p commander.Process, o commander.BackendOptions) error {
	calls, err := parseCalls(o.Calls)
	if err != nil {
		return commander.InputError{Cause: err}
	}
	logger := NewLogger(p.Err).With("service", o.Service)
	s, err := responder.Listen(responder.Options{
		Endpoint:           newEndpoint(o.Service),
		Service:            o.Service,
		Listen:             o.Listen,
		NodeURL:            strings.TrimSuffix(o.Node, "/"),
		Slots:              o.Slots,
		ConnectionLimit:    o.Connections,
		ServiceTime:        o.ServiceTime,
		ColdStart:          o.ColdStart,
		ReportedLoadFactor: o.ReportedLoad,
		Calls:              calls,
		Seed:               uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	if err := announce(ctx, s); err != nil {
		s.Crash()
		return err
	}
	logger.Info("backend server stand-in announced", "address", s.Address(), "node", o.Node)
	<-ctx.Done()
	logger.Info("backend server stand-in leaving")
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := s.Leave(leaveCtx); err != nil {
		return err
	}
	logger.Info("backend server stand-in stopped", "served", s.Served())
	return nil
}

func announce(ctx context.Context, s *responder.Server) error {
	announceCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	for {
		err := s.Announce(announceCtx)
		if err == nil {
			return nil
		}
		select {
		case <-announceCtx.Done():
			return err
		case <-time.After(announceRetryInterval):
		}
	}
}

// newEndpoint returns a random id, since two VMs may run the same service at the same address.
func newEndpoint(service string) string {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return service + "-" + hex.EncodeToString(b[:])
}

func parseCalls(paths []string) ([]responder.Nested, error) {
	calls := make([]responder.Nested, 0, len(paths))
	for _, p := range paths {
		service, path, ok := strings.Cut(strings.TrimPrefix(p, "/"), "/")
		if !strings.HasPrefix(p, "/") || !ok || service == "" {
			return nil, PathError{Path: p}
		}
		calls = append(calls, responder.Nested{Service: service, Method: "GET", Path: "/" + path})
	}
	return calls, nil
}
