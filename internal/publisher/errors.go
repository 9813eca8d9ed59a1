package publisher

// The author of a change must learn which of four outcomes it had: accepted, refused, certainly not appended, or unknown.
// Only the last two are errors of this package; a refusal is the configurer's Conflict.

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// InDoubtError reports a change that may or may not be on the log.
type InDoubtError struct {
	ID    configurer.ChangeID
	Cause error
}

// Error names the change and the reason why its outcome could not be read.
func (e InDoubtError) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown, it may still be accepted: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e InDoubtError) Unwrap() error {
	return e.Cause
}

// NotAppendedError reports a change that certainly did not reach the log.
type NotAppendedError struct {
	Cause error
}

// Error names the cause.
func (e NotAppendedError) Error() string {
	return fmt.Sprintf("nothing was changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e NotAppendedError) Unwrap() error {
	return e.Cause
}

// GapError reports a log that dropped records before a snapshot of them was appended, so that no change can be decided
// on.
type GapError struct {
	Earliest appender.Offset
}

// Error names the earliest offset.
func (e GapError) Error() string {
	return fmt.Sprintf("the log begins at offset %d and holds no snapshot of what came before: its changes can't be judged", e.Earliest)
}

// UnknownTeamError reports a team that no published preset defines.
type UnknownTeamError struct {
	Team identifier.Team
}

// Error names the team.
func (e UnknownTeamError) Error() string {
	return fmt.Sprintf("no published preset has a team %q", e.Team)
}

// UnknownKeyError reports a hash or hash prefix that does not match exactly one key.
type UnknownKeyError struct {
	Prefix  string
	Matches int
}

// Error names the hash and how many keys it matches.
func (e UnknownKeyError) Error() string {
	return fmt.Sprintf("%q fits %d keys: want the hash of one key, or its beginning", e.Prefix, e.Matches)
}
