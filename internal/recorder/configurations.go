package recorder

// Lines and metrics that tell by which configuration a request was decided, and how soon a configuration was put in force.
//
// Example: version 13 replaces 12, which was last proved 640 ms before: the store held it for 640 ms at most.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Basis is the configuration on which a decision rests.
type Basis struct {
	Version identifier.Version
	// ProofAge is how long ago the version was last known to be the newest, -1 if never.
	ProofAge clock.Duration
	// VersionFrom and ProofFrom are the nodes that relayed the configuration and the proof, empty for the store.
	VersionFrom, ProofFrom identifier.Node
}

// pairs returns the fields of a log line, none if there is no basis.
func (b *Basis) pairs() []any {
	if b == nil {
		return nil
	}
	return []any{
		"version", int64(b.Version), "proofAgeMs", int64(b.ProofAge),
		"versionFrom", sourceOf(b.VersionFrom), "proofFrom", sourceOf(b.ProofFrom),
	}
}

// sourceOf returns the name of a node that relayed something, or of the store if none did.
func sourceOf(n identifier.Node) string {
	if n == "" {
		return "store"
	}
	return string(n)
}

// InForce is a configuration that was put in force.
type InForce struct {
	Version, Previous identifier.Version
	From              identifier.Node
	// Within is the longest time for which the store may have held it before, -1 if that is not known.
	Within clock.Duration
	// Outdated is how many of the last requests it would have treated otherwise.
	Outdated int
}

// PutInForce records that a configuration was put in force.
func (r *Recorder) PutInForce(e InForce) {
	if e.Within >= 0 {
		by := "node"
		if e.From == "" {
			by = "store"
		}
		r.meters.observeDuration("configuration_in_force", "from", by, e.Within)
	}
	r.Event("configuration in force", "version", int64(e.Version), "previous", int64(e.Previous), "versionFrom", sourceOf(e.From),
		"withinMs", int64(e.Within), "outdated", e.Outdated)
}

// Outdated is a request that a newer configuration than the one that decided would have treated otherwise.
type Outdated struct {
	Request string
	Path    string
	// Status is the status with which the request was refused, 0 if it was accepted on the route.
	Status int
	Route  string
	// Newer is the newer version, and After how long after the request's arrival it was put in force.
	Newer identifier.Version
	After clock.Duration
	Basis Basis
}

// DecidedByOlder records a request that was decided when a newer configuration may have been acknowledged.
func (r *Recorder) DecidedByOlder(e Outdated) {
	handled := "accepted"
	if e.Status != 0 {
		handled = "refused"
	}
	r.meters.increment("decided_by_older", "decision", handled)
	ok, leftOut := r.allow("decided by older", linesPerSecond)
	if !ok {
		return
	}
	pairs := []any{
		"request", e.Request, "path", e.Path, "status", e.Status, "route", e.Route, "newer", int64(e.Newer),
		"newerAfterMs", int64(e.After), "leftOut", leftOut,
	}
	r.logger.Warn("request decided by an older configuration", append(pairs, e.Basis.pairs()...)...)
}

// AwaitedConfirmation records that a request waited for a proof that the configuration in force is the newest.
func (r *Recorder) AwaitedConfirmation() {
	r.meters.increment("awaited_confirmations", "of", "configuration")
}
