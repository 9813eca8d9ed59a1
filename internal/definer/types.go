// These are the domain types of the configuration. They have no struct tags: the presetter maps them to TOML and the
// encoder maps them to the log's format, so that a change to one format can't affect the other.
//
// Example: Kitakaze's preset "peak" defines service "ice" with route GET /bulletins at priority urgent,
// and team "okhotskAgents" with 200 calls a second and a burst of 400.

package definer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Preset is one complete set of rules; at most one preset is in force at a time.
type Preset struct {
	Name identifier.Preset
	// Domains lists every failure domain with its share of each team's rate.
	Domains []DomainShare
	// RetryAllowance is how many retries one root request may cause in its whole call graph.
	RetryAllowance uint8
	Services       []Service
	Teams          []Team
}

// DomainShare is one failure domain's initial share of every team's rate and burst.
type DomainShare struct {
	Domain identifier.FailureDomain
	// PerMille is the share in thousandths; the shares of a preset sum to at most 1000.
	PerMille int
}

// Service is a preset's rules for one service.
type Service struct {
	Name identifier.Service
	// Timeout bounds a call whose caller sets no deadline.
	Timeout clock.Duration
	// MaxBody is the largest request body accepted, in bytes.
	MaxBody int64
	Routes  []Route
}

// Route sets the priority of the calls whose method and path match it; the first matching route applies.
type Route struct {
	// Method is an HTTP method, or "*" for all.
	Method string
	// Prefix is matched against the path after the service's name, by whole segments.
	Prefix   string
	Priority identifier.Priority
	// Idempotent is set if a call may safely run more than once.
	Idempotent bool
}

// Team is a preset's rules for one team.
type Team struct {
	Name identifier.Team
	// Rate is in thousandths of a call a second, summed over all VMs.
	Rate identifier.Tokens
	// Burst is in thousandths of a call, summed over all VMs.
	Burst identifier.Tokens
	// Weight is the team's relative share when teams compete for the remaining capacity; at least 1.
	Weight int
}

// Key is a published team key; the key itself is shown once to the operator and never stored.
type Key struct {
	Hash identifier.KeyHash
	Team identifier.Team
	// Label is a note by the operator.
	Label  string
	Issued clock.Wall
}
