package matcher

// A configuration arrives whole, in one version, from the operators' store. These types say what it means; how it is
// written there is the codec's matter.
//
// Example: Route{Host: "a.example", Prefix: "/obs/", Parts: []Part{{"portal", 90}, {"portal2", 10}}}

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Kind says how often one request may run.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Upload requests have long bodies and run at most once.
	Upload
)

// Part is one service of a split and its weight.
type Part struct {
	Service identifier.Service
	Weight  int
}

// Route says where requests of a host and path prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Parts has one entry for an unsplit route.
	Parts []Part
	Kind  Kind
	// Timeout bounds the whole request; Objective is the latency that callers were promised.
	Timeout   clock.Duration
	Objective clock.Duration
	// Rank is 0 for the most important requests.
	Rank int
	// Attempts is the largest number of endpoints that one request may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
	// Regions are those whose endpoints may run its requests; empty allows all.
	Regions []identifier.Region
}

// Team is a tenant with its keys and the rate that it bought.
type Team struct {
	Name identifier.Team
	Keys []string
	// Rank goes before the route's when HasRank is set.
	Rank    int
	HasRank bool
	// Rate is in requests a second, Burst in requests; a Rate of 0 is unlimited.
	Rate  float64
	Burst float64
	// Regions are those whose endpoints may run its requests; empty allows all.
	Regions []identifier.Region
}

// Service is a service that routes name.
type Service struct {
	Name identifier.Service
	// Connections is how many connections one endpoint takes from all nodes together; 0 is unlimited.
	Connections int
	// HealthPath is where its endpoints answer how they fare.
	HealthPath string
	// ColdStart is how long an endpoint is cold after its start, ColdRate how many requests a second it bears meanwhile; a
	// ColdRate of 0 tells of no such bound.
	ColdStart clock.Duration
	ColdRate  float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout clock.Duration
	IdleTimeout   clock.Duration
}

// Configuration is one version of all routes, services and teams.
type Configuration struct {
	Version  identifier.Version
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}
