// All limits of the transport are in this file, so that the most memory that one process can use is easy to add up.
//
// Example: with MaxStreamWindow at 2 MB a 200 MB upload to a slow backend server takes about 2 MB of memory, not 200.

package transporter

import (
	"crypto/tls"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Options configures a transporter; a limit of zero is replaced by its default.
type Options struct {
	// Listen is the UDP address, such as "127.0.0.1:0".
	Listen string
	// ServerTLS must require and verify client certificates; ClientTLS must verify the server's.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Self      identifier.Node
	Domain    identifier.FailureDomain
	// Partitioned simulates a network partition in tests: while it returns true, nothing passes to or from the peer.
	Partitioned func(peer identifier.Node) bool

	// MaxHead bounds the encoded head of a call or answer, in bytes.
	MaxHead int
	// MaxMessage bounds a control message, in bytes.
	MaxMessage int
	// MaxCalls bounds the calls under way on one connection.
	MaxCalls int
	// MaxLinks bounds the connections that this node keeps open by dialling.
	MaxLinks int
	// MaxQueue bounds the control messages that wait for one peer.
	MaxQueue int
	// MaxQueueBytes bounds the bytes of those messages.
	MaxQueueBytes int
	// StreamWindow and MaxStreamWindow bound what one stream buffers at its receiver, in bytes.
	StreamWindow    uint64
	MaxStreamWindow uint64
	// LinkWindow and MaxLinkWindow bound the same for a whole connection.
	LinkWindow    uint64
	MaxLinkWindow uint64
	// DialTimeout bounds how long dialling and the exchange of hellos may take.
	DialTimeout clock.Duration
	// PeerTimeout is the time without a packet after which a peer counts as dead and the calls to it fail.
	PeerTimeout clock.Duration
	// IdleAfter is how long an unused connection that this node dialled is kept.
	IdleAfter clock.Duration
	// MinBackOff and MaxBackOff bound the pause after a failed dial.
	MinBackOff clock.Duration
	MaxBackOff clock.Duration
}

func orDefault[T int | uint64 | clock.Duration](v *T, fallback T) {
	if *v == 0 {
		*v = fallback
	}
}

func (o *Options) fillDefaults() {
	orDefault(&o.MaxHead, 64<<10)
	orDefault(&o.MaxMessage, 1<<20)
	orDefault(&o.MaxCalls, 2048)
	orDefault(&o.MaxLinks, 256)
	orDefault(&o.MaxQueue, 256)
	orDefault(&o.MaxQueueBytes, 4<<20)
	orDefault(&o.StreamWindow, 256<<10)
	orDefault(&o.MaxStreamWindow, 2<<20)
	orDefault(&o.LinkWindow, 1<<20)
	orDefault(&o.MaxLinkWindow, 8<<20)
	orDefault(&o.DialTimeout, 2*clock.Second)
	orDefault(&o.PeerTimeout, 4*clock.Second)
	orDefault(&o.IdleAfter, 30*clock.Second)
	orDefault(&o.MinBackOff, 50*clock.Millisecond)
	orDefault(&o.MaxBackOff, 2*clock.Second)
}

// protocolName is the ALPN name; with it a handshake with a server of another QUIC protocol on the same port fails.
const protocolName = "jackdawtide/1"

// withProtocol returns a copy of c that accepts only this protocol and TLS 1.3.
func withProtocol(c *tls.Config) *tls.Config {
	d := c.Clone()
	d.NextProtos = []string{protocolName}
	d.MinVersion = tls.VersionTLS13
	return d
}
