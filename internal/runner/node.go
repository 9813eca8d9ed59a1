// SIGTERM must start the node's planned stop, and the program must not return before that stop has ended; otherwise
// uploads in flight would be interrupted.
//
// Example: Node(ctx, p, settings) returns nil some minutes after ctx was done, once the last upload has ended.

package runner

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/assembler"
	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// stopSlack is how long a planned stop may take in addition to the drain timeout for calls in flight.
const stopSlack = 15 * time.Second

// heapPart gives the part of the memory in the settings at which the collector begins to work harder.
const heapPart = 2

// NewLogger returns a logger that writes JSON lines.
func NewLogger(w io.Writer) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
}

// Node runs this VM's node until ctx is done, and then stops it as planned.
func Node(ctx context.Context, p commander.Process, s loader.Settings) error {
	logger := NewLogger(p.Err).With("node", string(s.Name))
	if s.Limits.Memory > 0 {
		debug.SetMemoryLimit(s.Limits.Memory / heapPart)
	}
	n, err := newNode(s, logger)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	a := n.Addresses()
	logger.Info("node started", "id", string(n.ID()), "failureDomain", string(s.Domain),
		"caller", a.Caller, "local", a.Local, "peer", a.Peer, "admin", a.Admin)
	<-ctx.Done()
	logger.Info("node stopping", "drainTimeout", s.Limits.DrainTimeout.Std().String())
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Limits.DrainTimeout.Std()+stopSlack)
	defer cancel()
	return n.Stop(stopCtx)
}

func newNode(s loader.Settings, logger *log.Logger) (*assembler.Node, error) {
	trust, err := certifier.Load(s.Certificates)
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = requester.DetectResets(transport.DialContext)
	// Each request is bounded by its context; a timeout of the client would abort long-polling reads.
	logClient, err := appender.NewClient(s.Log.URL, &http.Client{Transport: requester.CheckedTransport(transport)})
	if err != nil {
		return nil, err
	}
	return assembler.New(assembler.Options{Settings: s, Trust: trust, Log: logClient, Logger: logger})
}
