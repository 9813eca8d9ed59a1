// These counts show operators whether control traffic stays within its budget; capacity planning is based on them too.
//
// Example: BytesSent counts QUIC packets without their UDP and IP headers; add 28 bytes a packet for IPv4.

package transporter

// Stats counts what a transporter has sent and received so far.
type Stats struct {
	// Links is the number of open connections; the other counts only grow.
	Links           int
	Dials           uint64
	FailedDials     uint64
	PacketsSent     uint64
	PacketsReceived uint64
	BytesSent       uint64
	BytesReceived   uint64
	// ControlSent counts the messages written, ControlDropped those dropped for a full queue or an unreachable peer.
	ControlSent    uint64
	ControlDropped uint64
	// ControlBytes counts the bytes of the messages written, without the overhead of frames and QUIC.
	ControlBytes uint64
	// Handshakes is the number of handshakes under way with clients, HandshakesVerified counts those whose clients had to prove their
	// address first, HandshakesRefused those that were refused.
	Handshakes, HandshakesVerified, HandshakesRefused int64
}

// Stats returns the counts so far.
func (t *Transporter) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.totals
	h := &t.handshakes
	s.Handshakes, s.HandshakesVerified, s.HandshakesRefused = h.pending.Load(), h.verified.Load(), h.refused.Load()
	for l := range t.links {
		s.Links++
		s.add(l)
	}
	return s
}

func (s *Stats) add(l *link) {
	c := l.conn.ConnectionStats()
	s.PacketsSent += c.PacketsSent
	s.PacketsReceived += c.PacketsReceived
	s.BytesSent += c.BytesSent
	s.BytesReceived += c.BytesReceived
}
