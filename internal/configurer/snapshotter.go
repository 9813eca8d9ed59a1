// Records expire. If the first records expired before a snapshot was appended, a fleet restarted as a whole would find
// changes that it can't decide on, and no configuration. An elected reader therefore appends a snapshot once the oldest
// record still needed has reached half the retention. Readers wait a random time, so that usually one of them appends it;
// nodes that are at or past a duplicate snapshot ignore it.
//
// Example: retention 24 h, last snapshot 12 h ago: within 45 min one reader appends the next.

package configurer

import "github.com/jackdawtide/jackdawtide/internal/clock"

// oldestRecord tracks the age of the oldest record that a new reader would need.
type oldestRecord struct {
	recorded bool
	wall     clock.Wall
	read     clock.Time
	due      clock.Time
}

// recordRead processes a record that is not a snapshot.
func (o *oldestRecord) recordRead(written clock.Wall, now clock.Time, wall clock.Wall) {
	if o.recorded {
		return
	}
	*o = oldestRecord{recorded: true, wall: min(written, wall), read: now}
}

func (o *oldestRecord) snapshotRead(written clock.Wall, now clock.Time, wall clock.Wall) {
	*o = oldestRecord{recorded: true, wall: min(written, wall), read: now}
}

// age returns the larger of two estimates: by the writer's clock, which may be fast, and by the time of reading, which
// may be late.
func (o *oldestRecord) age(now clock.Time, wall clock.Wall) clock.Duration {
	return max(now.Sub(o.read), wall.Sub(o.wall))
}

func (c *Configurer) tickSnapshot(now clock.Time, wall clock.Wall) []Effect {
	o := &c.oldestRecord
	if !c.reader.elected || c.reader.failed || c.hasGap || !o.recorded || o.age(now, wall) < c.options.Retention/2 {
		return nil
	}
	if o.due == 0 {
		o.due = now.Add(c.jitter(c.options.Retention / 32))
	}
	if now < o.due {
		return nil
	}
	o.due = now.Add(c.options.Retention/32 + c.jitter(c.options.Retention/32))
	s := c.configuration.snapshot(c.through)
	s.Wall = wall
	return []Effect{Append{Record: s}}
}
