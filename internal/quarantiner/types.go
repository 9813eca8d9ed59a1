package quarantiner

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// EndID identifies the end of one backend server: the node that noticed it, that node's start, and a number.
type EndID struct {
	Node        identifier.Node
	Incarnation int64
	Number      int64
}

// End is the end of a backend server while it ran requests.
type End struct {
	ID           EndID
	Endpoint     identifier.Endpoint
	Fingerprints []identifier.Fingerprint
}

// Verdict is what is known of a request.
type Verdict struct {
	// Ends is how many backend servers have ended under it since one last survived it.
	Ends int
	// Alone is set if it may run only where no other such request does.
	Alone bool
	// Quarantined is set if it may not be sent, for Left at most.
	Quarantined bool
	Left        clock.Duration
}
