package commander

// `log` runs a stand-in for the platform's log, so that the real programs can be tested as separate processes. Its help
// and its first line of output say that it is for tests, so that no one relies on it to store keys.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// Limits of the stand-in's HTTP server.
const (
	logMaxHeaderBytes = 16 << 10
	// logHeadSlack is how much longer than that a head may be before it is refused, as in net/http.
	logHeadSlack = 4 << 10
	// logMaxConnections is the number of connections above which a new one takes the place of one without a request.
	logMaxConnections = 800
	// logHeapPart gives the part of the memory at which the collector begins to work harder.
	logHeapPart        = 2
	logHeaderTimeout   = 5 * time.Second
	logIdleTimeout     = 2 * time.Minute
	logShutdownTimeout = 2 * time.Second
	defaultLogAddress  = "127.0.0.1:7000"
)

type logOptions struct {
	listen      string
	outage      bool
	delay       time.Duration
	lostAnswers int
	keepCount   int
	keepAge     time.Duration
	memoryMB    int64
}

func addLog(c *cli) {
	o := &logOptions{}
	clause := c.add(c.app, "log",
		"Run a stand-in for the platform's log, for tests only: it keeps records in memory and loses them when it stops.",
		"jackdawtide log --listen 127.0.0.1:7000",
		func(ctx context.Context) error { return c.runLog(ctx, o) })
	clause.Flag("listen", "Address to listen on; port 0 selects any free port.").
		Default(defaultLogAddress).StringVar(&o.listen)
	clause.Flag("outage", "Refuse every request from the start.").BoolVar(&o.outage)
	clause.Flag("delay", "Delay before each answer.").Default("0s").DurationVar(&o.delay)
	clause.Flag("lost-answers", "Number of first appends that take effect but whose answers are dropped; -1 for all.").
		Default("0").IntVar(&o.lostAnswers)
	clause.Flag("keep-count", "Number of records to keep; 0 for all.").Default("0").IntVar(&o.keepCount)
	clause.Flag("memory-mb", "Memory in MiB that the process may use; connections hold at most an eighth of it. 0 for that of the machine.").
		Default("0").Int64Var(&o.memoryMB)
	clause.Flag("keep-age", "How long to keep a record; 0s for no limit.").Default("0s").DurationVar(&o.keepAge)
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
	l, err := (&net.ListenConfig{Control: requester.BoundReceiveBuffer}).Listen(ctx, "tcp", o.listen)
	if err != nil {
		return fmt.Errorf("listen for the log: %w", err)
	}
	logger := log.NewWithOptions(c.Out, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	logger.Info("log stand-in for tests, nothing is kept on disk", "url", "http://"+l.Addr().String())
	pool, err := o.pool()
	if err != nil {
		return errors.Join(err, l.Close())
	}
	var refused refusalCounts
	p := pipeliner.New(pipeliner.Options{
		Handler:     refused.serveOr(k.Handler(), pool),
		Memory:      pool,
		MaxHead:     logMaxHeaderBytes + logHeadSlack,
		KeepsBodies: true,
		Room:        logRoom,
		Refused:     func(reason pipeliner.RefusalReason, _ net.Addr) { refused.add(logger, reason) },
	})
	s := &http.Server{
		Handler:           p,
		ConnContext:       p.Context,
		MaxHeaderBytes:    logMaxHeaderBytes,
		ReadHeaderTimeout: logHeaderTimeout,
		IdleTimeout:       logIdleTimeout,
	}
	return serveUntilDone(ctx, s, p.Listen(l))
}

// pool returns the memory that all connections of the log's server may hold together.
func (o *logOptions) pool() (*reserver.Pool, error) {
	memory := o.memoryMB << 20
	switch {
	case memory < 0:
		return nil, fmt.Errorf("memory-mb: %d: want 0 or more", o.memoryMB)
	case memory > 0:
		debug.SetMemoryLimit(memory / logHeapPart)
	default:
		var err error
		if memory, err = reserver.MachineMemory(); err != nil {
			return nil, err
		}
	}
	return reserver.New(reserver.PartOf(memory)), nil
}

// logRoom returns whether there is room for a connection beside the open ones.
func logRoom(open int) pipeliner.Room {
	if open >= logMaxConnections {
		return pipeliner.NoRoom
	}
	return pipeliner.AmpleRoom
}

// serveUntilDone serves until ctx ends and then waits for running requests to finish. Reads that wait for records can
// take up to a minute, so remaining connections are closed after logShutdownTimeout.
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
