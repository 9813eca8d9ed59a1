// The announced slots are a promise of the backend server, not a measurement. How the limit follows what is
// measured is a policy of its own, so that laws can be compared.
//
// Example: 100 announced slots, of which the VM can really use 40: FixedLaw runs 100 calls slowly.

package limiter

// Law names how the concurrency limit follows measured latency.
type Law uint8

// The laws.
const (
	// KneeLaw lowers the limit only where a trial shows that less concurrency gives as much throughput.
	KneeLaw Law = iota
	// FixedLaw keeps the limit at the announced slots.
	FixedLaw
)
