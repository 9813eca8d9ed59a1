package commander

// The operators' verbs read and append to the platform's log directly, so they work while every node is down. This file
// holds their common flags: the log's URL, the operator's name and the timeout.
//
// Example: --log http://10.9.0.1:7000 --operator eva --timeout 30s

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// Environment variables that set the defaults of flags.
const (
	logVariable      = "JACKDAWTIDE_LOG"
	operatorVariable = "JACKDAWTIDE_OPERATOR"
	adminVariable    = "JACKDAWTIDE_ADMIN"
)

const (
	defaultTimeout = "30s"
	retryPause     = 200 * clock.Millisecond
	// attemptsPerTimeout divides the timeout, so that time remains to read the log back after an unanswered request.
	attemptsPerTimeout = 3
)

type logFlags struct {
	url      string
	operator string
	timeout  time.Duration
}

func bindLog(clause *kingpin.CmdClause) *logFlags {
	f := &logFlags{}
	clause.Flag("log", "URL of the platform's log.").
		Envar(logVariable).
		PlaceHolder("URL").
		Required().
		StringVar(&f.url)
	clause.Flag("timeout", "How long to retry while the log does not answer.").
		Default(defaultTimeout).
		DurationVar(&f.timeout)
	return f
}

// bindChange adds the flags of verbs that append a change to the log.
func bindChange(clause *kingpin.CmdClause) *logFlags {
	f := bindLog(clause)
	clause.Flag("operator", "Operator name that is recorded in the change; the default is the user's name.").
		Envar(operatorVariable).
		PlaceHolder("NAME").
		StringVar(&f.operator)
	return f
}

// withLog reads the log and calls run with the resulting view.
func (c *cli) withLog(
	ctx context.Context,
	f *logFlags,
	run func(ctx context.Context, p *publisher.Publisher, v *publisher.View) error,
) error {
	client, err := appender.NewClient(f.url, c.HTTP)
	if err != nil {
		return UsageError{Cause: err}
	}
	if f.timeout <= 0 {
		return UsageError{Cause: fmt.Errorf("--timeout %s: want a positive duration", f.timeout)}
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	operator := f.operator
	if operator == "" {
		operator = c.User
	}
	p := publisher.New(publisher.Options{
		Log:            client,
		Operator:       operator,
		Wall:           func() clock.Wall { return clock.Wall(c.Now().UnixMilli()) },
		Random:         c.Random,
		AttemptTimeout: clock.FromStd(f.timeout / attemptsPerTimeout),
		RetryPause:     retryPause,
	})
	v, err := p.Load(ctx)
	if err != nil {
		return err
	}
	return run(ctx, p, v)
}
