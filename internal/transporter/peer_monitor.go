// A peer that crashes sends nothing, and callers that wait for its answers, and handlers that work for it, would not
// end. So a link with calls under way is checked four times per PeerTimeout or more often: if no packet arrived for an
// eighth of PeerTimeout, a probe is sent; after PeerTimeout without one the peer counts as dead. Idle links are not
// probed; the next call detects a dead peer.
//
// Example: PeerTimeout 4 s: the peer crashes at 0 s, probes are sent at 1, 2 and 3 s, the calls fail at 4 to 5 s.

package transporter

import "time"

// peerMonitor detects a dead peer of a link; it is used only by the goroutine that runs maintenanceLoop.
type peerMonitor struct {
	packets     uint64
	lastContact time.Time
}

func (l *link) checkPeer(now time.Time) {
	m := &l.peerMonitor
	packets := l.conn.ConnectionStats().PacketsReceived
	busy := l.calls.Load() > 0 || l.serving.Load() > 0
	if packets != m.packets || !busy {
		m.packets = packets
		m.lastContact = now
		return
	}
	silence := now.Sub(m.lastContact)
	limit := l.t.options.PeerTimeout.Std()
	if silence > limit {
		l.closeNow(codePeerTimeout)
		return
	}
	if silence >= limit/8 {
		l.sendProbe()
	}
}

// sendProbe sends no probe while another control frame is being written, whose acknowledgement serves as well.
func (l *link) sendProbe() {
	if !l.controlMu.TryLock() {
		return
	}
	defer l.controlMu.Unlock()
	_ = l.writeFrame(frameProbe, nil)
}
