package relayer

// Answers between nodes carry the version in force at the answering node, and how long ago it was known to be the newest, so
// that a node without access to the store can continue to serve keyed requests.
//
// Example: Jackdaw-Proved: 12,800,57 is version 12, which was the newest 800 ms before the answer, from a node that knows the
// operators' orders before offset 57.

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// SetProof writes the proof of this node's configuration into a header.
func (r *Relayer) SetProof(h http.Header) {
	r.View(func(c *conductor.Conductor, _ clock.Time) { r.setProof(h, c) })
}

func (r *Relayer) setProof(h http.Header, c *conductor.Conductor) {
	if text := r.proof(c); text != "" {
		h[provedField] = []string{text}
	}
}

// proof returns the formatted proof of this node's configuration, empty if there is none.
func (r *Relayer) proof(c *conductor.Conductor) string {
	version, at, ok := c.ProvedAt()
	if !ok {
		return ""
	}
	return formatProof(version, r.options.Boot.Now().Sub(at), c.OrdersNext())
}

// Proof states that a version of the configuration was the newest at a given time of this node's boot clock.
type Proof struct {
	Version identifier.Version
	AsOf    clock.Time
	// Next is the offset after the last of the operators' orders that the other node knows, 0 if it did not report one.
	Next identifier.Offset
}

// ReadProof reads the proof that another node wrote with SetProof. Its age is counted from the boot time of the request,
// which is earlier than the answer, so the proof never seems fresher than it is.
func ReadProof(h http.Header, requestedAt clock.Time) (Proof, bool) {
	return proofAt(h.Get(provedField), requestedAt)
}

func proofAt(text string, requestedAt clock.Time) (Proof, bool) {
	version, age, next, ok := parseProof(text)
	return Proof{Version: version, AsOf: requestedAt.Add(-age), Next: next}, ok
}

// formatProof encodes the version in force at a node, how long ago it was the newest, and the offset after the last of the
// operators' orders that the node knows; parseProof decodes them.
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

// applyProof applies a proof that another node passed on, if it is for the version in force here and fresher by at least minProofGain.
func (r *Relayer) applyProof(text string, requestedAt clock.Time, from identifier.Node) {
	proof, ok := proofAt(text, requestedAt)
	if !ok {
		return
	}
	known, at, proved := identifier.Version(0), clock.Time(0), false
	r.View(func(c *conductor.Conductor, _ clock.Time) { known, at, proved = c.ProvedAt() })
	if known != proof.Version || proved && proof.AsOf.Sub(at) < minProofGain {
		return
	}
	r.ApplyEvent(conductor.ConfigurationProved{Version: proof.Version, AsOf: proof.AsOf, From: from})
}

// minProofGain is how much fresher a proof must be to be applied; a smaller gain would have no effect but still take the
// lock.
const minProofGain = 300 * clock.Millisecond
