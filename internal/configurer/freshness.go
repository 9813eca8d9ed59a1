// A node can't see the withdrawal of a key that it has had no news of. What it can know is how old its
// news is: the moment of the newest contact with the log that it heard of, by itself or through peers, at
// which it had everything that the log then had. Ages, not times, travel, as processes share no clock.
//
// A contact is named by the node that had it and a stamp of that node's clock, and counts once at each node.
// Without the name, nodes that tell each other the same old contact would make it a little younger at each
// hop, and a domain cut off for an hour would report news of minutes.
//
// Example: a peer's ping says offset 41, contact {n7, 91200, age 300 ms}; a node that has 41 then has a
// Freshness of 300 ms. A message that was long under way makes the news look younger by that time, once.

package configurer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// NoContact is the freshness of a node without any news.
const NoContact clock.Duration = 1<<62 - 1

// maxStamps bounds the readers whose stamps are remembered.
const maxStamps = 1024

// Contact tells of one node's contact with the log, as it is passed on.
type Contact struct {
	Reader identifier.Node
	// Stamp is the contact's moment on the reader's own clock.
	Stamp clock.Time
	Age   clock.Duration
}

type contact struct {
	known  bool
	at     clock.Time
	reader identifier.Node
	stamp  clock.Time
	stamps  map[identifier.Node]clock.Time
}

// recordContact counts only for a node without a gap: one with a gap may lack withdrawals that it has no news of.
func (c *Configurer) recordContact(n Contact, now clock.Time) {
	o := &c.contact
	if c.waiting || n.Reader == "" || n.Age < 0 || n.Age >= NoContact {
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

// Contact returns the newest contact with the log, to be passed on; its Reader is empty where there is none.
func (c *Configurer) Contact(now clock.Time) Contact {
	return Contact{Reader: c.contact.reader, Stamp: c.contact.stamp, Age: c.Freshness(now)}
}

// Freshness returns how long ago the log was known to hold nothing newer than this node has.
func (c *Configurer) Freshness(now clock.Time) clock.Duration {
	if !c.contact.known {
		return NoContact
	}
	return now.Sub(c.contact.at)
}

// MayServe tells whether the news is fresh enough for calls to be taken.
func (c *Configurer) MayServe(now clock.Time) bool {
	return c.options.MaxSilence == 0 || c.Freshness(now) <= c.options.MaxSilence
}
