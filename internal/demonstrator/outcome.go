// The audit holds what callers recorded about each of their requests and what backend servers recorded about all of
// them. The promises are checked by these records, and by the versions that nodes report.

package demonstrator

import (
	"time"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// phase is a part of the demo with its own load.
type phase uint8

const (
	steady phase = iota
	changes
	overload
	settling
	recovered
)

// outcome is what a caller recorded about one request that it sent.
type outcome struct {
	team       identifier.Team
	class      identifier.Priority
	phase      phase
	request    request
	id         string
	idempotent bool
	// duplicate marks the second sending of the same idempotency id.
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
	// failure is set if the caller got neither an answer nor a refusal.
	failure string
}

func (o *outcome) answered() bool { return o.failure == "" && o.status == 200 }

func (o *outcome) refused() bool { return o.failure == "" && o.reason != "" }

// versionSample is the version of the configuration that a node reported as in force.
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

// audit holds all records that the promises are checked by.
type audit struct {
	outcomes []outcome
	// runs counts the starts of each idempotency id, over all backend servers.
	runs map[string]int
	// keySeen names the backend servers that saw a key.
	keySeen []string
	// limits are the highest rate and burst that each team had under any preset, in calls.
	limits         map[identifier.Team]limit
	retryAllowance int
	duration       time.Duration

	switches       []change
	versionSamples []versionSample
	// stopped names the node that was stopped as planned; it reports no versions afterwards.
	stopped   string
	stoppedAt time.Duration

	// flooding is the team that sends several times its rate, withdrawn the team whose key is withdrawn.
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

// drainRecord counts the calls that reached the drained backend server: until the drain, until drainSettleTime after
// it, from which on no more may arrive, and until the end.
type drainRecord struct {
	before  int64
	settled int64
	end     int64
	failure string
}

// uploadRecord is the result of an upload through a planned stop.
type uploadRecord struct {
	size    int
	status  int
	text    string
	failure string
	// stopFailure is the error of the stop.
	stopFailure string
	// stoppedAfter is the time until the node's stop returned, answeredAfter the time until the upload was answered.
	stoppedAfter  time.Duration
	answeredAfter time.Duration
}
