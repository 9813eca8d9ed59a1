// The fleet is small enough for one process and large enough for every fault: three failure domains of two VMs each, so
// that a claim has a witness in its domain and the fleet survives the loss of one domain.
//
// Example: VM 0 and VM 3 are in domain alfa, VM 1 and VM 4 in bravo, VM 2 and VM 5 in charlie.

package faulter

import (
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/launcher"
)

const (
	vms           = 6
	slots         = 24
	connections   = 400
	serviceTime   = 5 * time.Millisecond
	callTimeout   = 2 * clock.Second
	maxBody       = 16 << 10
	service       = "bookings"
	bookingPath   = "/bookings/escorts"
	readingPath   = "/bookings/mine"
	usualPreset   = "ordinary"
	changedPreset = "peak"
)

var domains = []identifier.FailureDomain{"alfa", "bravo", "charlie"}

// teamPlan is a team with its rate, in calls a second, and the load it sends, as a ratio of its rate.
type teamPlan struct {
	name      identifier.Team
	rate      float64
	burst     float64
	loadRatio float64
	// bookingRatio is the ratio of calls that must run at most once.
	bookingRatio float64
}

// overloadingTeam sends more than its rate, withinRateTeam stays within it. The first makes no bookings, so that each
// call charged to it reaches a backend server and can be counted there.
const (
	overloadingTeam identifier.Team = "okhotskAgents"
	withinRateTeam  identifier.Team = "captains"
)

var usualTeams = []teamPlan{
	{name: overloadingTeam, rate: 100, burst: 50, loadRatio: 1.6},
	{name: withinRateTeam, rate: 120, burst: 120, loadRatio: 0.6, bookingRatio: 0.7},
}

// Small teams send 70% of their rate as a Poisson process to random nodes; their burst is one second of the rate.
var smallTeams = []teamPlan{
	{name: "surveyors", rate: 8, burst: 8, loadRatio: 0.7, bookingRatio: 0.3},
	{name: "ferryLines", rate: 15, burst: 15, loadRatio: 0.7, bookingRatio: 0.3},
	{name: "harbourMasters", rate: 30, burst: 30, loadRatio: 0.7, bookingRatio: 0.3},
}

func planOf(teams []teamPlan) launcher.Plan {
	p := launcher.Plan{
		Deployment: "faults",
		Services: []launcher.Service{{
			Name: service, Endpoints: vms, Slots: slots, Connections: connections, ServiceTime: serviceTime,
		}},
		Presets: []definer.Preset{presetOf(usualPreset, teams), presetOf(changedPreset, teams)},
	}
	for _, d := range domains {
		p.Domains = append(p.Domains, string(d))
	}
	return p
}

func presetOf(name identifier.Preset, teams []teamPlan) definer.Preset {
	p := definer.Preset{
		Name:           name,
		RetryAllowance: 2,
		Services: []definer.Service{{
			Name: service, Timeout: callTimeout, MaxBody: maxBody,
			Routes: []definer.Route{
				{Method: "POST", Prefix: "/escorts", Priority: identifier.High},
				{Method: "GET", Prefix: "/", Priority: identifier.Normal, Idempotent: true},
			},
		}},
	}
	for i, d := range domains {
		share := definer.DomainShare{Domain: d, PerMille: 333}
		if i == 0 {
			share.PerMille = 334
		}
		p.Domains = append(p.Domains, share)
	}
	for _, t := range teams {
		p.Teams = append(p.Teams, definer.Team{
			Name:   t.name,
			Rate:   tokens(t.rate),
			Burst:  tokens(t.burst),
			Weight: 1,
		})
	}
	return p
}

func tokens(calls float64) identifier.Tokens {
	return identifier.Tokens(calls * float64(identifier.TokensPerCall))
}
