package loader

// Settings are what a process can't learn from the log: who it is, where it listens and whom it trusts. All the
// rest is published by operators, so that a change of rules needs no restart.
//
// Example: node.name = "portal-1", listen.caller = "10.1.0.5:8080", log.url = "http://10.9.0.1:7000".

import (
	"net/netip"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// NodeName is the name of a VM's node in its settings; it stays the same when the process restarts.
type NodeName string

// Settings are the checked settings of one node.
type Settings struct {
	Name   NodeName
	Domain identifier.FailureDomain
	Region identifier.Region
	Listen Listen
	Log    Log
	// Seeds are the peer addresses of some nodes, asked when the log is down at the start.
	Seeds []netip.AddrPort
	// Certificates are the files for mutual TLS with other nodes and with operators.
	Certificates certifier.Files
	// CallerCertificates are the files for HTTPS towards callers; empty means HTTP.
	CallerCertificates CallerCertificates
	// Operators are the names let in at an admin endpoint with mutual TLS; empty lets in all of the CA's operators.
	Operators []string
	Limits    Limits
}

// Listen holds the addresses that a node listens on; port 0 takes any free port.
type Listen struct {
	// Caller is where callers reach the node.
	Caller netip.AddrPort
	// Local is where the own backend servers reach the node; it is always on loopback.
	Local netip.AddrPort
	// Peer is the UDP address where other nodes reach the node, and which they are told.
	Peer netip.AddrPort
	// Admin is where operators reach the node.
	Admin netip.AddrPort
}

// AdminNeedsTLS tells whether operators come from outside the VM, and so must show a certificate.
func (l Listen) AdminNeedsTLS() bool {
	return !l.Admin.Addr().IsLoopback()
}

// Log says how the platform's log is reached and what it keeps.
type Log struct {
	URL string
	// Retention is how long the log keeps records.
	Retention clock.Duration
	// MaxSilence is how long a node without news from the log goes on serving; 0 means without end.
	MaxSilence clock.Duration
}

// CallerCertificates are the files for HTTPS towards callers.
type CallerCertificates struct {
	Certificate string
	Key         string
}

// Limits bound what the listeners take.
type Limits struct {
	// MaxHeader bounds the header of one request in bytes.
	MaxHeader int64
	// MaxBodies bounds the request bodies in flight.
	MaxBodies int64
	// MaxConnections bounds the open connections of one listener.
	MaxConnections int64
	// ReadHeaderTimeout bounds the time to read a header.
	ReadHeaderTimeout clock.Duration
	// IdleTimeout ends a connection without a request.
	IdleTimeout clock.Duration
	// BodyIdleTimeout ends a request whose body makes no progress.
	BodyIdleTimeout clock.Duration
	// DrainTimeout bounds how long a planned stop waits for running calls.
	DrainTimeout clock.Duration
}

// DefaultLimits are used for what the settings leave out.
func DefaultLimits() Limits {
	return Limits{
		MaxHeader:         16 << 10,
		MaxBodies:         2048,
		MaxConnections:    4096,
		ReadHeaderTimeout: 5 * clock.Second,
		IdleTimeout:       clock.Minute,
		BodyIdleTimeout:   30 * clock.Second,
		DrainTimeout:      10 * clock.Minute,
	}
}

// DefaultRetention is assumed for a log whose settings do not say what it keeps.
const DefaultRetention = 24 * clock.Hour
