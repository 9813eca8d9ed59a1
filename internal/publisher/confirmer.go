package publisher

// The log may append a record and the answer may be lost. An operator who assumes a failure publishes again, gets a
// conflict with their own first change, and does not know which of the two is in force. The outcome of a change is
// therefore always read from the log, by the change's id. The same record may be appended again, since readers decide
// on an id only once.
//
// Example: append → 503; the next read finds the id, accepted as version 9 → 9 is returned.

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// appendState is what is known of a record after all attempts to append it so far.
type appendState struct {
	// sent is set once an append may have reached the log, appended once an append was answered with an offset.
	sent     bool
	appended bool
	cause    error
}

// appendAndConfirm appends a record, repeatedly if needed, until its outcome can be read or ctx ends.
func (p *Publisher) appendAndConfirm(ctx context.Context, v *View, id configurer.ChangeID, record any) (identifier.Version, error) {
	data, err := encoder.Encode(record)
	if err != nil {
		return 0, NotAppendedError{Cause: err}
	}
	var s appendState
	for {
		if err := p.attemptAppend(ctx, data, &s); err != nil {
			return 0, err
		}
		o, found, err := p.findOutcome(ctx, v, id)
		if found {
			return result(o)
		}
		if err != nil {
			s.cause = err
		}
		if !clock.Sleep(ctx, p.options.RetryPause.Std()) {
			return 0, s.finalError(id, ctx.Err())
		}
	}
}

// attemptAppend appends the record unless an earlier append was answered with an offset. It fails only if the log refuses
// the record and no earlier append can have reached the log; otherwise the outcome may still be read.
func (p *Publisher) attemptAppend(ctx context.Context, data []byte, s *appendState) error {
	if s.appended {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.AttemptTimeout.Std())
	defer cancel()
	_, err := p.options.Log.Append(ctx, data)
	if err == nil {
		s.sent, s.appended = true, true
		return nil
	}
	var u appender.Unavailable
	if !errors.As(err, &u) && !s.sent {
		return NotAppendedError{Cause: err}
	}
	s.sent = s.sent || !u.NotSent
	s.cause = err
	return nil
}

func (p *Publisher) findOutcome(ctx context.Context, v *View, id configurer.ChangeID) (configurer.Outcome, bool, error) {
	if err := p.catchUp(ctx, v); err != nil {
		return configurer.Outcome{}, false, err
	}
	o, found := v.OutcomeOf(id)
	return o, found, nil
}

// finalError returns the error for a change whose outcome was not read before ctx ended.
func (s appendState) finalError(id configurer.ChangeID, ctxErr error) error {
	if s.cause == nil {
		s.cause = fmt.Errorf("the record can't be read back: %w", ctxErr)
	}
	if !s.sent {
		return NotAppendedError{Cause: s.cause}
	}
	return InDoubtError{ID: id, Cause: s.cause}
}

func result(o configurer.Outcome) (identifier.Version, error) {
	if o.Conflict != nil {
		return 0, *o.Conflict
	}
	return o.Version, nil
}
