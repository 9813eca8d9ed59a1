package loader

// A node that runs as a sidecar of an endpoint, on a platform that assigns addresses and operates the store, needs other
// settings than a node of an independent fleet. They are read and checked in the same way.
//
// Example: s, err := ParseSidecar(data); s.Bounds.Revoke is how long a withdrawn key may still be served.

import (
	"net/netip"

	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Sidecar holds the settings of a node that runs as a sidecar of an endpoint.
type Sidecar struct {
	Name   identifier.Node
	Domain identifier.FailureDomain
	// Regions gives the region of each failure domain; empty if the platform does not give them.
	Regions map[identifier.FailureDomain]identifier.Region
	// Service is the service of the endpoint on the same VM, Endpoint the address where it listens.
	Service  identifier.Service
	Endpoint netip.AddrPort
	Listen   SidecarListen
	// Store is the address of the platform's store.
	Store    netip.AddrPort
	MemoryMB int
	// Descriptors is how many connections and files the node may have open.
	Descriptors int
	Bounds      SidecarBounds
}

// SidecarListen holds the addresses that the node listens on.
type SidecarListen struct {
	// Outbound accepts requests of callers and of the local endpoint, Inbound those that other nodes send.
	Outbound netip.AddrPort
	Inbound  netip.AddrPort
	// Readiness answers the platform's checks, Announcements accepts the local endpoint's heartbeats.
	Readiness     netip.AddrPort
	Announcements netip.AddrPort
	// Peer exchanges reports with other nodes and serves the state dump, Metrics serves metrics.
	Peer    netip.AddrPort
	Metrics netip.AddrPort
}

// SidecarBounds are the bounds that operators guarantee to their users.
type SidecarBounds struct {
	// Revoke is how long a withdrawn key may still be served.
	Revoke clock.Duration
	// ConfigurationInForce is the time within which an accepted configuration is in force on all nodes.
	ConfigurationInForce clock.Duration
	// Drain is how long a leaving endpoint may still get requests.
	Drain clock.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace clock.Duration
	// Within RetryWindow, at most RetryRatio times the requests for a service, plus RetrySlack, may be retried at a
	// second endpoint.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow clock.Duration
	// Within any RateWindow, a team may exceed its rate and burst by the fraction RateExcess plus RateSlack requests.
	RateWindow clock.Duration
	RateExcess float64
	RateSlack  float64
	// Within one second, all nodes together may send a cold endpoint at most ColdExcess times the requests a second
	// that it can serve, plus ColdSlack; a ColdExcess of 0 sets no such bound.
	ColdExcess float64
	ColdSlack  float64
	// Evacuate is how long the endpoints of a failure domain may still get requests after its evacuation was requested.
	Evacuate clock.Duration
}

// Defaults of the bounds, as documented by the platform, for settings that do not give them.
const (
	defaultRevoke      = 5 * clock.Second
	defaultInForce     = 2 * clock.Second
	defaultDrain       = 2 * clock.Second
	defaultGrace       = 6 * clock.Second
	defaultRetryWindow = 10 * clock.Second
	defaultRetryRatio  = 0.2
	defaultRetrySlack  = 50
	defaultRateWindow  = 5 * clock.Second
	defaultEvacuate    = 5 * clock.Second
	minBound           = 100 * clock.Millisecond
	maxColdExcess      = 100
	defaultMemoryMB    = 256
	defaultDescriptors = 1024
)

// minDescriptors is the number of descriptors that a node needs to listen, follow the store and exchange reports.
const minDescriptors = 64

// ParseSidecar returns the settings in a TOML file, or all of its faults.
func ParseSidecar(data []byte) (Sidecar, error) {
	t, err := checker.Parse(data)
	if err != nil {
		return Sidecar{}, err
	}
	var s Sidecar
	node := t.Table("node")
	s.Name = identifier.Node(node.Name("name"))
	s.Domain = identifier.FailureDomain(node.Name("failureDomain"))
	s.Regions = readRegions(t.Table("regions"))
	endpoint := t.Table("endpoint")
	s.Service = identifier.Service(endpoint.Name("service"))
	s.Endpoint = endpoint.Address("address")
	listen := t.Table("listen")
	s.Listen = SidecarListen{
		Outbound:      listen.Address("outbound"),
		Inbound:       listen.Address("inbound"),
		Readiness:     listen.Address("readiness"),
		Announcements: listen.Address("announcements"),
		Peer:          listen.Address("peer"),
		Metrics:       listen.Address("metrics"),
	}
	s.Store = t.Table("store").Address("address")
	limits := t.Table("limits")
	s.MemoryMB = int(limits.IntegerOr("memoryMb", defaultMemoryMB, 1, maxCount))
	s.Descriptors = int(limits.IntegerOr("descriptors", defaultDescriptors, minDescriptors, maxCount))
	s.Bounds = readSidecarBounds(t.Table("bounds"))
	if err := t.Finish(); err != nil {
		return Sidecar{}, err
	}
	return s, nil
}

func readRegions(t *checker.Table) map[identifier.FailureDomain]identifier.Region {
	regions := map[identifier.FailureDomain]identifier.Region{}
	for _, domain := range t.Keys() {
		regions[identifier.FailureDomain(domain)] = identifier.Region(t.Name(domain))
	}
	return regions
}

func readSidecarBounds(t *checker.Table) SidecarBounds {
	return SidecarBounds{
		Revoke:               t.DurationOr("revoke", defaultRevoke, minBound, maxTimeout),
		ConfigurationInForce: t.DurationOr("configurationInForce", defaultInForce, minBound, maxTimeout),
		Drain:                t.DurationOr("drain", defaultDrain, minBound, maxTimeout),
		Grace:                t.DurationOr("grace", defaultGrace, minBound, maxTimeout),
		RetryRatio:           t.NumberOr("repeatRatio", defaultRetryRatio, 0, 1),
		RetrySlack:           t.NumberOr("repeatSlack", defaultRetrySlack, 0, maxCount),
		RetryWindow:          t.DurationOr("repeatWindow", defaultRetryWindow, minBound, maxTimeout),
		RateWindow:           t.DurationOr("rateWindow", defaultRateWindow, minBound, maxTimeout),
		RateExcess:           t.NumberOr("rateExcess", 0, 0, 1),
		RateSlack:            t.NumberOr("rateSlack", 0, 0, maxCount),
		ColdExcess:           t.NumberOr("coldExcess", 0, 0, maxColdExcess),
		ColdSlack:            t.NumberOr("coldSlack", 0, 0, maxCount),
		Evacuate:             t.DurationOr("evacuate", defaultEvacuate, minBound, maxTimeout),
	}
}
