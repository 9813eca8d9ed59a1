// These are the domain types of the configuration. They carry no tags: the TOML form is mapped by the
// presetter, the form on the log by the encoder, so that neither format can change the meaning of the other.
//
// Example: Kitakaze's preset "peak" defines service "ice" with route GET /bulletins at priority urgent,
// and team "okhotskAgents" with 200 calls a second and a burst of 400.

package definer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Preset is one complete set of rules; exactly one preset is in force at a time.
type Preset struct {
	Name identifier.Preset
	// Domains lists every failure domain with its share of each team's rate.
	Domains []DomainShare
	// RetryAllowance is how many retries one root request may cause in its whole chain.
	RetryAllowance uint8
	Services       []Service
	Teams          []Team
}

// DomainShare is the part of every team's rate and burst that starts out in one failure domain.
type DomainShare struct {
	Domain identifier.FailureDomain
	// PerMille is the share in thousandths; the shares of a preset sum to at most 1000.
	PerMille int
}

// Service is what a preset says about one service.
type Service struct {
	Name identifier.Service
	// Timeout bounds a call for which the caller names no deadline.
	Timeout clock.Duration
	// MaxBody is the largest request body taken, in bytes.
	MaxBody int64
	Routes  []Route
}

// Route gives the priority of the calls whose method and path match it; the first match counts.
type Route struct {
	// Method is an HTTP method, or "*" for all.
	Method string
	// Prefix is matched against the path behind the service's name, on whole segments.
	Prefix   string
	Priority identifier.Priority
	// Idempotent tells that a call may safely run more than once.
	Idempotent bool
}

// Team is what a preset says about one team.
type Team struct {
	Name identifier.Team
	// Rate is in thousandths of a call a second, summed over all VMs.
	Rate identifier.Tokens
	// Burst is in thousandths of a call, summed over all VMs.
	Burst identifier.Tokens
	// Weight is the team's part when teams compete for what is left; at least 1.
	Weight int
}

// Key is a published team key; the key itself is shown once to the operator and never stored.
type Key struct {
	Hash identifier.KeyHash
	Team identifier.Team
	// Label is the operator's own note.
	Label  string
	Issued clock.Wall
}
