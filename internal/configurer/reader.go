// Only a few elected nodes per failure domain read the log, because otherwise thousands of nodes would poll it. A node
// also reads the log itself while it needs records that its peers no longer have, and when its newest log contact is
// stale. All back off while the log fails, so that not every node sends requests at once when the log recovers.
//
// Example: of 482 live nodes the two with the highest rendezvous hash read every 200 ms. If both hang, the log contact
// of the others is stale after 3 s, and each begins to read at a random time.

package configurer

import (
	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Intervals and time limits of reading the log.
const (
	readInterval    = 200 * clock.Millisecond
	readTimeout     = 5 * clock.Second
	staleContactAge = 3 * clock.Second
	// Elected readers retry often to notice a recovered log; the other nodes must not add thousands of reads a second.
	maxBackoffElected = clock.Second
	maxBackoff        = 30 * clock.Second
)

type reader struct {
	elected    bool
	catchingUp bool
	// reading is set while a read is in progress; sent is when it was requested.
	reading bool
	sent    clock.Time
	due     clock.Time
	backoff clock.Duration
	failed  bool
	// failedSince is the time of the first failure after the last success.
	failedSince clock.Time
	// readScheduled is set on a node that is not elected once its log contact is stale and the random wait before its
	// own read has begun.
	readScheduled bool
}

// SetPeers sets the other live nodes of the local failure domain and some nodes of other domains.
func (c *Configurer) SetPeers(local, remote []identifier.Node) {
	c.relay.local = local
	c.relay.remote = remote
	c.relay.next = nextByName(c.options.Node, local)
	own := electionHash(c.options.Node)
	ahead := 0
	for _, n := range local {
		if h := electionHash(n); h > own || (h == own && n > c.options.Node) {
			ahead++
		}
	}
	c.reader.elected = ahead < c.options.Readers
}

func nextByName(own identifier.Node, peers []identifier.Node) identifier.Node {
	var next, first identifier.Node
	for _, n := range peers {
		if first == "" || n < first {
			first = n
		}
		if n > own && (next == "" || n < next) {
			next = n
		}
	}
	if next == "" {
		return first
	}
	return next
}

// Reads reports whether this node is one of its failure domain's elected readers of the log.
func (c *Configurer) Reads() bool {
	return c.reader.elected
}

func electionHash(n identifier.Node) uint64 {
	return xxh3.HashString(string(n))
}

func (c *Configurer) tickReader(now clock.Time) []Effect {
	r := &c.reader
	// Without this timeout a lost answer would end all reading, and the configuration would never change again.
	if r.reading && now.Sub(r.sent) > readTimeout {
		c.readFailed(now)
	}
	if r.reading || now < r.due || !c.wantsRead(now) {
		return nil
	}
	r.reading = true
	r.sent = now
	return []Effect{ReadLog{From: c.tail.next, Asked: now}}
}

func (c *Configurer) wantsRead(now clock.Time) bool {
	r := &c.reader
	if r.elected || r.catchingUp {
		return true
	}
	if c.Freshness(now) <= staleContactAge {
		r.readScheduled = false
		return false
	}
	if !r.readScheduled {
		r.readScheduled = true
		r.due = now.Add(c.jitter(maxBackoff / 3))
		return false
	}
	return true
}

// LogFailed processes the failure of a read of the log.
func (c *Configurer) LogFailed(now clock.Time) []Effect {
	c.readFailed(now)
	return c.pull(now)
}

func (c *Configurer) readFailed(now clock.Time) {
	r := &c.reader
	r.reading = false
	if !r.failed {
		r.failed = true
		r.failedSince = now
	}
	limit := maxBackoff
	if r.elected {
		limit = maxBackoffElected
	}
	r.backoff = min(max(2*r.backoff, readInterval), limit)
	r.due = now.Add(r.backoff/2 + c.jitter(r.backoff/2))
}

// LogRead processes the log's answer to a read.
func (c *Configurer) LogRead(b Batch, now clock.Time, wall clock.Wall) []Effect {
	r := &c.reader
	r.reading = false
	r.failed = false
	r.backoff = 0
	r.due = now.Add(readInterval)
	if !r.elected {
		r.due = now.Add(staleContactAge/2 + c.jitter(staleContactAge))
	}
	var effects []Effect
	if b.Earliest > c.tail.next {
		effects = c.skip(b.Earliest)
	}
	for _, record := range b.Records {
		effects = append(effects, c.applyRecord(record, now, wall)...)
	}
	if c.tail.next >= b.Next {
		r.catchingUp = false
		c.recordContact(Contact{Reader: c.options.Node, Stamp: b.Asked, Age: now.Sub(b.Asked)}, now)
	} else {
		r.due = now
	}
	return append(effects, c.hintIfNew(now)...)
}

func (c *Configurer) jitter(span clock.Duration) clock.Duration {
	if span <= 0 {
		return 0
	}
	return clock.Duration(c.options.Rand.Int64N(int64(span) + 1))
}
