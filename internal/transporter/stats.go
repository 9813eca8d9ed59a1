// Operators see by these counts whether control traffic keeps within its budget, and the capacity page's slopes are
// made of them.
//
// Example: BytesSent counts QUIC packets without their UDP and IP headers; add 28 bytes a packet for IPv4.

package transporter

// Stats counts what a transporter has carried so far.
type Stats struct {
	// Links is the number of open connections; the other counts only grow.
	Links           int
	Dials           uint64
	FailedDials     uint64
	PacketsSent     uint64
	PacketsReceived uint64
	BytesSent       uint64
	BytesReceived   uint64
	// ControlSent counts messages written, ControlDropped those given up for a full queue or an unreachable peer.
	ControlSent    uint64
	ControlDropped uint64
	// ControlBytes counts the bytes of the messages written, without what the connections add.
	ControlBytes uint64
}

// Stats returns the counts so far.
func (t *Transporter) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.totals
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
