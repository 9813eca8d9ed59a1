package commander

// `log` runs the stand-in of the platform's log, so that the real programs can be tried as separate processes. It
// says in its help and in its first line of output that it is for tests, lest someone trusts it with their keys.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
)

// Bounds of the stand-in's listener.
const (
	logMaxHeaderBytes      = 16 << 10
	logHeaderTimeout  = 5 * time.Second
	logIdleTimeout    = 2 * time.Minute
	logShutdownTimeout  = 2 * time.Second
	defaultLogAddress = "127.0.0.1:7000"
)

type logOptions struct {
	listen      string
	outage      bool
	delay       time.Duration
	lostAnswers int
	keepCount   int
	keepAge     time.Duration
}

func addLog(c *cli) {
	o := &logOptions{}
	clause := c.add(c.app, "log",
		"Run a stand-in of the platform's log, for tests only: it keeps records in memory and loses them when it stops.",
		"jackdawtide log --listen 127.0.0.1:7000",
		func(ctx context.Context) error { return c.runLog(ctx, o) })
	clause.Flag("listen", "Address to listen on; port 0 takes any free port.").
		Default(defaultLogAddress).StringVar(&o.listen)
	clause.Flag("outage", "Start with every request refused.").BoolVar(&o.outage)
	clause.Flag("delay", "Time before each answer.").Default("0s").DurationVar(&o.delay)
	clause.Flag("lost-answers", "How many of the first appends lose their answer; -1 for all.").
		Default("0").IntVar(&o.lostAnswers)
	clause.Flag("keep-count", "How many records to keep; 0 for all.").Default("0").IntVar(&o.keepCount)
	clause.Flag("keep-age", "How long to keep a record; 0s for ever.").Default("0s").DurationVar(&o.keepAge)
}

func (c *cli) runLog(ctx context.Context, o *logOptions) error {
	k := logkeeper.New(logkeeper.Options{})
	k.Set(logkeeper.Switches{
		Outage:      o.outage,
		Delay:       clock.FromStd(o.delay),
		LostAnswers: o.lostAnswers,
		KeepCount:   o.keepCount,
		KeepAge:     clock.FromStd(o.keepAge),
	})
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.listen)
	if err != nil {
		return fmt.Errorf("listen for the log: %w", err)
	}
	logger := log.NewWithOptions(c.Out, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	logger.Info("log stand-in for tests, nothing is kept on disk", "url", "http://"+l.Addr().String())
	s := &http.Server{
		Handler:           k.Handler(),
		MaxHeaderBytes:    logMaxHeaderBytes,
		ReadHeaderTimeout: logHeaderTimeout,
		IdleTimeout:       logIdleTimeout,
	}
	return serveUntilDone(ctx, s, l)
}

// serveUntilDone serves until ctx ends, and then lets running requests finish; waiting reads would take up to a
// minute, so they are cut after a short while.
func serveUntilDone(ctx context.Context, s *http.Server, l net.Listener) error {
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		finish, cancel := context.WithTimeout(context.Background(), logShutdownTimeout)
		defer cancel()
		err := s.Shutdown(finish)
		if errors.Is(err, context.DeadlineExceeded) {
			err = s.Close()
		}
		stopped <- err
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the log: %w", err)
	}
	return <-stopped
}
