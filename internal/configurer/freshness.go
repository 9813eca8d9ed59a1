// A node can't see the withdrawal of a key that it has had no news of. What it can know is how old its
// news is: the moment of the newest contact with the log that it heard of, by itself or through peers, at
// which it had everything that the log then had. Ages, not times, travel, as processes share no clock.
//
// Example: a peer's ping says offset 41, age 300 ms; a node that has 41 then has Freshness of 300 ms. A
// message that was long under way makes the news look younger by that time.

package configurer

import "github.com/jackdawtide/jackdawtide/internal/clock"

// NeverHeard is the freshness of a node without any news.
const NeverHeard clock.Duration = 1<<62 - 1

type contact struct {
	known bool
	at    clock.Time
}

// touch counts only for a node without a gap: one with a gap may lack withdrawals that it has no news of.
func (c *Configurer) touch(at clock.Time) {
	if c.waiting || (c.contact.known && at <= c.contact.at) {
		return
	}
	c.contact = contact{known: true, at: at}
}

func (c *Configurer) hear(age clock.Duration, now clock.Time) {
	if age >= 0 && age < NeverHeard {
		c.touch(now.Add(-age))
	}
}

// Freshness returns how long ago the log was known to hold nothing newer than this node has.
func (c *Configurer) Freshness(now clock.Time) clock.Duration {
	if !c.contact.known {
		return NeverHeard
	}
	return now.Sub(c.contact.at)
}

// MayServe tells whether the news is fresh enough for calls to be taken.
func (c *Configurer) MayServe(now clock.Time) bool {
	return c.options.MaxSilence == 0 || c.Freshness(now) <= c.options.MaxSilence
}
