package commander

// Scripts act on the exit code, operators on the message, and tools on the JSON on standard error. This file derives all
// three from the type of the error.
//
// Example: a Conflict prints "refused: …" and exits with 1; an outage of the log exits with 3.

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// kind classifies a failure for tools.
type kind string

const (
	kindUsage       kind = "usage"
	kindInput       kind = "input"
	kindFaults      kind = "faults"
	kindConflict    kind = "conflict"
	kindInDoubt     kind = "inDoubt"
	kindUnreachable kind = "unreachable"
	kindFailed      kind = "failed"
)

type failure struct {
	Error    string    `json:"error"`
	Kind     kind      `json:"kind"`
	Faults   []fault   `json:"faults,omitempty"`
	Conflict *conflict `json:"conflict,omitempty"`
	ChangeID string    `json:"changeId,omitempty"`
}

type fault struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Problem string `json:"problem"`
}

type conflict struct {
	Subject string `json:"subject"`
	Reason  string `json:"reason"`
	Base    int64  `json:"base"`
	Current int64  `json:"current"`
}

func kindOf(err error) kind {
	if _, ok := asError[checker.Faults](err); ok {
		return kindFaults
	}
	if _, ok := asError[UsageError](err); ok {
		return kindUsage
	}
	if _, ok := asError[InputError](err); ok {
		return kindInput
	}
	if _, ok := asError[configurer.Conflict](err); ok {
		return kindConflict
	}
	if _, ok := asError[publisher.InDoubtError](err); ok {
		return kindInDoubt
	}
	_, log := asError[appender.Unavailable](err)
	_, node := asError[inspector.UnreachableError](err)
	if log || node || errors.Is(err, context.DeadlineExceeded) {
		return kindUnreachable
	}
	return kindFailed
}

func codeOf(err error) Code {
	if err == nil {
		return Done
	}
	switch kindOf(err) {
	case kindUsage, kindInput, kindFaults:
		return BadInput
	case kindInDoubt, kindUnreachable:
		return Unreachable
	case kindConflict, kindFailed:
		return Failed
	}
	return Failed
}

func (c *cli) printError(err error) {
	f := failureOf(err)
	if c.format == JSON {
		// If standard error can't be written either, the exit code still reports the failure.
		_ = writeJSON(c.Err, f)
		return
	}
	_, _ = fmt.Fprint(c.Err, f.text())
}

func (f failure) text() string {
	switch f.Kind {
	case kindConflict:
		return fmt.Sprintf("refused: %s\n", f.Error)
	case kindFaults:
		return fmt.Sprintf("%s: the file is invalid and was not applied:\n%s\n", program, f.Error)
	case kindUsage:
		return fmt.Sprintf("%s: %s\ntry: %s --help\n", program, f.Error, program)
	case kindInput, kindInDoubt, kindUnreachable, kindFailed:
	}
	return fmt.Sprintf("%s: %s\n", program, f.Error)
}

func failureOf(err error) failure {
	f := failure{Error: err.Error(), Kind: kindOf(err)}
	if faults, ok := asError[checker.Faults](err); ok {
		for _, one := range faults {
			f.Faults = append(f.Faults, fault(one))
		}
	}
	if e, ok := asError[configurer.Conflict](err); ok {
		f.Conflict = &conflict{
			Subject: e.Subject.String(),
			Reason:  e.Reason.String(),
			Base:    int64(e.Base),
			Current: int64(e.Current),
		}
	}
	if e, ok := asError[publisher.InDoubtError](err); ok {
		f.ChangeID = string(e.ID)
	}
	return f
}
