package matcher

// A configuration is read from the operators' store as one complete version. These types are its decoded form;
// package platform decodes the stored format.
//
// Example: Route{Host: "a.example", Prefix: "/obs/", Parts: []Part{{"portal", 90}, {"portal2", 10}}}

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Kind determines how often one request may run.
type Kind uint8

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// Part is one service of a route that is split among services by weight.
type Part struct {
	Service identifier.Service
	Weight  int
}

// Route determines which services handle the requests for a host and path prefix, and under which limits.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Parts has one entry for an unsplit route.
	Parts []Part
	Kind  Kind
	// Timeout is the upper bound for the whole request; Objective is the latency promised to callers (the SLO).
	Timeout   clock.Duration
	Objective clock.Duration
	// Rank is 0 for the most important requests.
	Rank int
	// Attempts is the maximum number of endpoints that one request may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
	// Regions are the regions whose endpoints may run the route's requests; empty allows all.
	Regions []identifier.Region
}

// Team is a tenant with its keys and its rate limit.
type Team struct {
	Name identifier.Team
	Keys []string
	// Rank overrides the route's rank if HasRank is set.
	Rank    int
	HasRank bool
	// Rate is in requests per second, Burst in requests; a Rate of 0 is unlimited.
	Rate  float64
	Burst float64
	// Regions are the regions whose endpoints may run the team's requests; empty allows all.
	Regions []identifier.Region
}

// Service is a service that routes refer to.
type Service struct {
	Name identifier.Service
	// Connections is the number of connections that one endpoint accepts from all nodes together; 0 is unlimited.
	Connections int
	// HealthPath is the path at which the service's endpoints answer health checks.
	HealthPath string
	// ColdStart is how long an endpoint is cold after its start, ColdRate how many requests per second it can serve during
	// that time; a ColdRate of 0 sets no such limit.
	ColdStart clock.Duration
	ColdRate  float64
}

// Limits are upper bounds for the size of a caller's request and for the time that it may take to send it.
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
