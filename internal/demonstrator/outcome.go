// What a caller knows about one of its requests, and what backend servers know about all of them. The promises are
// judged by these accounts alone.

package demonstrator

import (
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// phase is a part of the day.
type phase uint8

const (
	steady phase = iota
	changes
	overload
	settling
	recovered
)

// outcome is what a caller knows about one request that it sent.
type outcome struct {
	team       identifier.Team
	class      identifier.Priority
	phase      phase
	request    request
	id         string
	idempotent bool
	// duplicate marks the second sending of the same id.
	duplicate bool
	size      int
	deadline  time.Duration
	// sent and ended count from the start of the traffic.
	sent  time.Duration
	ended time.Duration

	status    int
	reason    string
	notRun    bool
	replayed  bool
	requestID string
	text      string
	// failure is set where the caller got neither an answer nor a refusal.
	failure string
}

func (o *outcome) answered() bool { return o.failure == "" && o.status == 200 }

func (o *outcome) refused() bool { return o.failure == "" && o.reason != "" }

// versionSample is a node's own word on the configuration in force there.
type versionSample struct {
	node    string
	at      time.Duration
	version identifier.Version
}

// change is an accepted change of the configuration.
type change struct {
	at      time.Duration
	version identifier.Version
}

// audit is everything that the promises are judged by.
type audit struct {
	outcomes []outcome
	// runs counts the starts of each idempotency id, over all backend servers.
	runs map[string]int
	// keySeen names the backend servers that saw a key.
	keySeen []string
	// limits are the most generous rate and burst that each team had, in calls.
	limits         map[identifier.Team]limit
	retryAllowance int
	duration       time.Duration

	switches       []change
	versionSamples []versionSample
	// stopped names the node that was stopped on purpose, which then tells nothing more.
	stopped   string
	stoppedAt time.Duration

	flooding    identifier.Team
	withdrawn   identifier.Team
	withdrawnAt time.Duration

	drain  drainRecord
	upload uploadRecord
}

type limit struct {
	rate  float64
	burst float64
}

// drainRecord counts what reached the drained backend server: before the drain, when no more should come, at the end.
type drainRecord struct {
	before  int64
	settled int64
	end     int64
	failure string
}

// uploadRecord tells how an upload through a planned stop went.
type uploadRecord struct {
	size    int
	status  int
	text    string
	failure string
	// stopFailure tells what went wrong with the stop itself.
	stopFailure string
	// stoppedAfter is when the node's stop returned, and answeredAfter when the upload's answer came.
	stoppedAfter  time.Duration
	answeredAfter time.Duration
}
