// A node can't know of a key's withdrawal before its record arrives. It does know how old its configuration may be: the
// age of the newest contact with the log, its own or a peer's, whose records it has completely. Messages carry ages and
// not times, because processes share no clock.
//
// A contact is identified by the node that read the log and a stamp of that node's clock, and each node counts it once.
// Without this identity, nodes that pass the same old contact back and forth would make it a little younger at each
// hop, and a failure domain partitioned for an hour would report an age of minutes.
//
// Example: a peer's ping carries offset 41 and contact {n7, 91200, age 300 ms}; a node that has the record at 41 then
// has a Freshness of 300 ms. A message's transit time makes the contact look younger by that time, but only once.

package configurer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// NoContact is the freshness of a node that knows of no contact with the log.
const NoContact clock.Duration = 1<<62 - 1

// maxStamps bounds the number of readers whose newest stamps are kept.
const maxStamps = 1024

// Contact is one node's contact with the log, as nodes report it to each other.
type Contact struct {
	Reader identifier.Node
	// Stamp is the time of the contact on the reader's clock.
	Stamp clock.Time
	Age   clock.Duration
}

// contact is the newest known contact with the log, at a time of this node's clock, and the last stamp of each reader.
type contact struct {
	known  bool
	at     clock.Time
	reader identifier.Node
	stamp  clock.Time
	stamps map[identifier.Node]clock.Time
}

// recordContact ignores contacts while there is a gap, because the gap may contain withdrawals that this node lacks.
func (c *Configurer) recordContact(n Contact, now clock.Time) {
	o := &c.contact
	if c.hasGap || n.Reader == "" || n.Age < 0 || n.Age >= NoContact {
		return
	}
	if last, known := o.stamps[n.Reader]; known && n.Stamp <= last {
		return
	}
	if o.stamps == nil || len(o.stamps) >= maxStamps {
		o.stamps = map[identifier.Node]clock.Time{o.reader: o.stamp}
	}
	o.stamps[n.Reader] = n.Stamp
	at := now.Add(-n.Age)
	if o.known && at <= o.at {
		return
	}
	o.known = true
	o.at = at
	o.reader = n.Reader
	o.stamp = n.Stamp
}

// Contact returns the newest known contact with the log, for messages to peers; its Reader is empty if there is none.
func (c *Configurer) Contact(now clock.Time) Contact {
	return Contact{Reader: c.contact.reader, Stamp: c.contact.stamp, Age: c.Freshness(now)}
}

// Freshness returns how long ago the log is known to have held no record that this node lacks.
func (c *Configurer) Freshness(now clock.Time) clock.Duration {
	if !c.contact.known {
		return NoContact
	}
	return now.Sub(c.contact.at)
}

// MayServe reports whether the newest log contact is recent enough for the node to accept calls.
func (c *Configurer) MayServe(now clock.Time) bool {
	return c.options.MaxSilence == 0 || c.Freshness(now) <= c.options.MaxSilence
}
