package relayer

// Answers between nodes carry the version in force at the answering node, and how long ago it was the newest, so that a node
// that the store turns away can go on serving keyed requests.
//
// Example: Jackdaw-Proved: 12,800,57 is version 12, which was the newest 800 ms before the answer, by a node that knows the
// orders before offset 57.

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// SetProof writes how fresh the configuration is here.
func (r *Relayer) SetProof(h http.Header) {
	r.View(func(c *conductor.Conductor, _ clock.Time) { r.setProof(h, c) })
}

func (r *Relayer) setProof(h http.Header, c *conductor.Conductor) {
	if text := r.proof(c); text != "" {
		h[provedField] = []string{text}
	}
}

// proof returns how fresh the configuration is here, empty if that is not known.
func (r *Relayer) proof(c *conductor.Conductor) string {
	version, at, ok := c.ProvedAt()
	if !ok {
		return ""
	}
	return formatProof(version, r.options.Boot.Now().Sub(at), c.OrdersNext())
}

// Proof is another node's word that a version was the newest at a moment of this node's boot clock.
type Proof struct {
	Version identifier.Version
	AsOf    clock.Time
	// Next is up to which offset of the operators' orders the node knows them, 0 if it does not say.
	Next identifier.Offset
}

// ReadProof reads what SetProof wrote at another node that was asked at a boot time. Its age is counted from that moment,
// which was before the other node answered: so the proof is never taken for fresher than it is.
func ReadProof(h http.Header, requestedAt clock.Time) (Proof, bool) {
	return proofAt(h.Get(provedField), requestedAt)
}

func proofAt(text string, requestedAt clock.Time) (Proof, bool) {
	version, age, next, ok := parseProof(text)
	return Proof{Version: version, AsOf: requestedAt.Add(-age), Next: next}, ok
}

// formatProof and parseProof carry the version in force at a node, how long ago it was the newest, and up to which offset the
// node knows the operators' orders.
func formatProof(version identifier.Version, age clock.Duration, next identifier.Offset) string {
	text := strconv.FormatInt(int64(version), 10) + "," + strconv.FormatInt(int64(age), 10)
	if next > 0 {
		text += "," + strconv.FormatInt(int64(next), 10)
	}
	return text
}

func parseProof(text string) (version identifier.Version, age clock.Duration, next identifier.Offset, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 2 || len(parts) > 3 {
		return 0, 0, 0, false
	}
	var numbers [3]int64
	for i, part := range parts {
		number, err := strconv.ParseInt(part, 10, 64)
		if err != nil || number < 0 && i > 0 {
			return 0, 0, 0, false
		}
		numbers[i] = number
	}
	return identifier.Version(numbers[0]), clock.Duration(numbers[1]), identifier.Offset(numbers[2]), true
}

// applyProof takes over another node's proof.
func (r *Relayer) applyProof(text string, requestedAt clock.Time) {
	proof, ok := proofAt(text, requestedAt)
	if !ok {
		return
	}
	known, at, proved := identifier.Version(0), clock.Time(0), false
	r.View(func(c *conductor.Conductor, _ clock.Time) { known, at, proved = c.ProvedAt() })
	if known != proof.Version || proved && proof.AsOf.Sub(at) < minProofGain {
		return
	}
	r.ApplyEvent(conductor.ConfigurationProved{Version: proof.Version, AsOf: proof.AsOf})
}

// minProofGain is by how much a proof must be fresher to be taken over; less would change nothing and cost a lock.
const minProofGain = 300 * clock.Millisecond
