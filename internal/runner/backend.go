// The backend server stand-in as a process of its own. It starts at the same time as its node, so that the first
// announcements may find nobody; and it leaves as a real one should: no new work, last calls finished, then the end.
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
	announceTimeout = 30 * time.Second
	announceRetryInterval = 200 * time.Millisecond
	leaveTimeout    = 10 * time.Minute
)

// PathError reports a nested call that is not given as /service/path.
type PathError struct{ Path string }

// Error names the path.
func (e PathError) Error() string { return fmt.Sprintf("call: %q: want /service/path", e.Path) }

// Backend runs a backend server stand-in until ctx is done, and then lets it leave.
func Backend(ctx context.Context, p commander.Process, o commander.BackendOptions) error {
	calls, err := parseCalls(o.Calls)
	if err != nil {
		return commander.InputError{Cause: err}
	}
	logger := NewLogger(p.Err).With("service", o.Service)
	s, err := responder.Listen(responder.Options{
		Endpoint:        newEndpoint(o.Service),
		Service:         o.Service,
		Listen:          o.Listen,
		NodeURL:         strings.TrimSuffix(o.Node, "/"),
		Slots:           o.Slots,
		ConnectionLimit: o.Connections,
		ServiceTime:     o.ServiceTime,
		ColdStart:       o.ColdStart,
		ReportedLoad:    o.ReportedLoad,
		Calls:           calls,
		Seed:            uint64(time.Now().UnixNano()),
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

// Two VMs may run the same service at the same address, so the name is drawn.
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
