// A peer that dies says nothing, and whoever waits for its answer, or works for it, would wait on. So a link with calls
// under way is watched: after a quarter of PeerTimeout without a packet a probe asks for one, and after the whole of it
// the peer counts as dead. An idle link costs nothing; that nobody is there is then noticed by the next call.
//
// Example: PeerTimeout 4 s: the peer is killed at 0 s, probes go out at 1, 2 and 3 s, the calls fail at 4 to 5 s.

package transporter

import "time"

// watcher belongs to the transporter's tending goroutine alone.
type watcher struct {
	packets uint64
	lastContact   time.Time
}

func (l *link) checkPeer(now time.Time) {
	w := &l.watcher
	packets := l.conn.ConnectionStats().PacketsReceived
	busy := l.calls.Load() > 0 || l.serving.Load() > 0
	if packets != w.packets || !busy {
		w.packets = packets
		w.lastContact = now
		return
	}
	silence := now.Sub(w.lastContact)
	limit := l.t.options.PeerTimeout.Std()
	if silence > limit {
		l.closeNow(codePeerTimeout)
		return
	}
	if silence >= limit/8 {
		l.sendProbe()
	}
}

// sendProbe leaves it to the frames under way to be acknowledged when there are any.
func (l *link) sendProbe() {
	if !l.controlMu.TryLock() {
		return
	}
	defer l.controlMu.Unlock()
	_ = l.writeFrame(frameProbe, nil)
}
