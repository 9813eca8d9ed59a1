package quarantiner

// A request that ends whatever runs it would go from one backend server to the next: its caller sends it again with another id
// and at another node, and a run that is repeated makes the same nested call again. It is therefore known by what it asks for.
// Most requests under which a server ends are innocent, and some of them move on to the next server together with the guilty one.
// They are told apart by what happens next: an innocent request is soon answered by another server, which clears it, and a request
// that was answered shortly before is not counted. After two ends a request may run only where no other such request does, so that a
// third end tells which one is guilty.
//
// Example: two servers end under f and g. Each is sent to a server of its own: g is answered and cleared, a third server ends under
// f, which is quarantined for 30 s. It is then sent once more, a fourth server ends, and it is quarantined for 2 minutes.

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// maxEnds is how many backend servers may end under a request before it is quarantined. One end proves nothing, since all
	// requests that the server ran are under it; from aloneEnds on the request runs apart from others like it.
	maxEnds   = 3
	aloneEnds = 2
	// firstQuarantine is how long a request is quarantined after maxEnds ends; each further end multiplies that by
	// quarantineFactor, up to maxQuarantine. A request that is innocent after all is sent again after the first one.
	firstQuarantine  = 30 * clock.Second
	quarantineFactor = 4
	maxQuarantine    = 10 * clock.Minute
	// forgetAfter is how long after its last end, or after its quarantine, a request is forgotten. A node that does not see it
	// answered elsewhere must not add up ends that lie far apart.
	forgetAfter = clock.Minute
	// survivalCounts is how long a request that a server has answered is not suspected.
	survivalCounts = 10 * clock.Second
	// maxSuspects and maxSurvivors bound the requests, and maxKnownEnds the ends, that are remembered.
	maxSuspects  = 4096
	maxSurvivors = 4096
	maxKnownEnds = 256
)

type suspect struct {
	ends  int
	ended clock.Time
}

// Quarantiner remembers requests under which backend servers ended; it is not safe for concurrent use.
type Quarantiner struct {
	suspects  *bounded[identifier.Fingerprint, suspect]
	survivors *bounded[identifier.Fingerprint, clock.Time]
	known     *bounded[EndID, struct{}]
}

// New returns a quarantiner that suspects nothing.
func New() *Quarantiner {
	return &Quarantiner{
		suspects:  newBounded[identifier.Fingerprint, suspect](maxSuspects),
		survivors: newBounded[identifier.Fingerprint, clock.Time](maxSurvivors),
		known:     newBounded[EndID, struct{}](maxKnownEnds),
	}
}

// Ended counts the end of a backend server for the requests that it ran; an end that is known already is ignored.
func (q *Quarantiner) Ended(e End, now clock.Time) {
	if _, ok := q.known.get(e.ID); ok {
		return
	}
	q.known.put(e.ID, struct{}{})
	for _, f := range e.Fingerprints {
		if q.survivedLately(f, now) {
			continue
		}
		s, ok := q.suspects.get(f)
		if !ok || s.forgotten(now) {
			s = suspect{}
		}
		q.suspects.put(f, suspect{ends: s.ends + 1, ended: now})
	}
}

// Survived clears requests that a backend server has answered.
func (q *Quarantiner) Survived(fingerprints []identifier.Fingerprint, now clock.Time) {
	for _, f := range fingerprints {
		q.suspects.drop(f)
		q.survivors.put(f, now)
	}
}

func (q *Quarantiner) survivedLately(f identifier.Fingerprint, now clock.Time) bool {
	at, ok := q.survivors.get(f)
	return ok && now.Sub(at) <= survivalCounts
}

// Suspected returns those of the fingerprints that no server has answered lately.
func (q *Quarantiner) Suspected(fingerprints []identifier.Fingerprint, now clock.Time) []identifier.Fingerprint {
	return slices.DeleteFunc(slices.Clone(fingerprints), func(f identifier.Fingerprint) bool { return q.survivedLately(f, now) })
}

// Judge returns what is known of a request with any of the fingerprints.
func (q *Quarantiner) Judge(fingerprints []identifier.Fingerprint, now clock.Time) (v Verdict) {
	for _, f := range fingerprints {
		s, ok := q.suspects.get(f)
		if !ok || s.forgotten(now) {
			continue
		}
		v.Ends = max(v.Ends, s.ends)
		v.Alone = v.Alone || s.ends >= aloneEnds
		if left := s.quarantine() - now.Sub(s.ended); left > 0 {
			v.Quarantined, v.Left = true, max(v.Left, left)
		}
	}
	return v
}

// Suspects returns how many requests are remembered for the ends under them.
func (q *Quarantiner) Suspects() int {
	return q.suspects.len()
}

func (s suspect) forgotten(now clock.Time) bool {
	return now.Sub(s.ended) > s.quarantine()+forgetAfter
}

func (s suspect) quarantine() clock.Duration {
	if s.ends < maxEnds {
		return 0
	}
	span := firstQuarantine
	for range s.ends - maxEnds {
		span = min(maxQuarantine, span*quarantineFactor)
	}
	return span
}
