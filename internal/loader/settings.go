package loader

// Settings are what a process can't read from the log: its identity, its addresses and the certificates it trusts.
// Operators publish everything else on the log, so that a change of rules needs no restart.
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
	// Seeds are the peer addresses of some nodes, contacted if the log is unavailable at the start.
	Seeds []netip.AddrPort
	// Certificates are the files for mutual TLS with other nodes and with operators.
	Certificates certifier.Files
	// CallerCertificates are the files for HTTPS to callers; empty means HTTP.
	CallerCertificates CallerCertificates
	// Operators are the names admitted at an admin endpoint with mutual TLS; empty admits all operators of the CA.
	Operators []string
	Limits    Limits
}

// Listen holds the addresses that a node listens on; port 0 takes any free port.
type Listen struct {
	// Caller is where callers reach the node.
	Caller netip.AddrPort
	// Local is where the node's own backend servers reach it; it is always a loopback address.
	Local netip.AddrPort
	// Peer is the UDP address where other nodes reach the node; the node announces it to them.
	Peer netip.AddrPort
	// Admin is where operators reach the node.
	Admin netip.AddrPort
}

// AdminNeedsTLS reports whether operators connect from outside the VM and so must present a certificate.
func (l Listen) AdminNeedsTLS() bool {
	return !l.Admin.Addr().IsLoopback()
}

// Log holds the address of the platform's log and its limits.
type Log struct {
	URL string
	// Retention is how long the log keeps records.
	Retention clock.Duration
	// MaxSilence is how long a node without contact to the log continues to serve; 0 sets no limit.
	MaxSilence clock.Duration
}

// CallerCertificates are the files for HTTPS to callers.
type CallerCertificates struct {
	Certificate string
	Key         string
}

// Limits are upper bounds of what the listeners accept.
type Limits struct {
	// Memory is the memory in bytes that the process may use; 0 means that of the machine. All connections together may hold a
	// fixed part of it.
	Memory int64
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

// DefaultLimits returns the limits that apply where the settings give none.
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

// DefaultRetention is the assumed retention of a log if the settings give none.
const DefaultRetention = 24 * clock.Hour
