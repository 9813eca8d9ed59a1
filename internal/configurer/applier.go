// Every record is taken exactly once and in the log's order, or a late copy could bring an old state back.
// After a gap the configuration can't be folded from records alone: changes are then held until a snapshot
// comes that reaches the gap's end. The old state stays in force meanwhile, but for withdrawn keys.
//
// Example: through 10, the log's earliest is 50: the changes at 60 and 70 are held; a snapshot Through 64
// closes the gap, 60 is already in it, and 70 is folded on top.

package configurer

import (
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func (c *Configurer) applyRecord(r Record, now clock.Time, wall clock.Wall) []Effect {
	if r.Offset < c.tail.next {
		return nil
	}
	c.tail.add(r, c.options.MaxRecords, c.options.MaxBytes)
	value, err := c.options.Decode(r.Raw)
	if err != nil {
		// A record of a newer version: passed on to peers, not understood here.
		c.undecodable++
		c.advance(r.Offset)
		return nil
	}
	switch v := value.(type) {
	case Snapshot:
		return c.applySnapshot(r.Offset, v, now, wall)
	case PublishPreset, SwitchPreset, IssueKey, WithdrawKey:
		c.oldest.recordRead(wallOf(v), now, wall)
		return c.applyChange(r.Offset, v)
	}
	c.oldest.recordRead(wall, now, wall)
	c.advance(r.Offset)
	return []Effect{Deliver{Offset: r.Offset, Value: value}}
}

func (c *Configurer) advance(offset identifier.Offset) {
	if !c.waiting {
		c.through = max(c.through, offset)
	}
}

func (c *Configurer) applyChange(offset identifier.Offset, record any) []Effect {
	if c.waiting {
		return c.hold(offset, record)
	}
	// A snapshot from a peer may already hold the change.
	if offset <= c.through {
		return nil
	}
	c.through = offset
	changed, ok := c.configuration.apply(record)
	if !ok {
		return nil
	}
	return []Effect{changed}
}

// hold keeps a change for the time after the gap. A withdrawal works at once: the key was issued only once,
// so nothing in the gap can make it valid again, and waiting would let it be used after its record was read.
func (c *Configurer) hold(offset identifier.Offset, record any) []Effect {
	c.held = append(c.held, heldChange{offset: offset, record: record})
	w, ok := record.(WithdrawKey)
	if !ok || w.ID == "" || c.suspended[w.Hash] {
		return nil
	}
	c.suspended[w.Hash] = true
	return []Effect{Changed{Version: c.configuration.version, Withdrawn: []identifier.KeyHash{w.Hash}}}
}

func (c *Configurer) skip(to identifier.Offset) []Effect {
	from := c.tail.next
	c.tail.jump(to)
	if c.through < to-1 {
		c.waiting = true
		c.needed = to - 1
		// What was held before this gap has no unbroken history up to it.
		c.held = nil
	}
	return []Effect{Skipped{From: from, To: to}}
}

func (c *Configurer) applySnapshot(offset identifier.Offset, s Snapshot, now clock.Time, wall clock.Wall) []Effect {
	c.oldest.snapshotRead(s.Wall, now, wall)
	effects := c.adopt(s)
	c.advance(offset)
	return effects
}

// adopt takes over a snapshot only where it is ahead of the own state, so that none can turn it back.
func (c *Configurer) adopt(s Snapshot) []Effect {
	if s.Through <= c.through || (c.waiting && s.Through < c.needed) {
		return nil
	}
	changed := c.configuration.replace(s)
	c.through = s.Through
	c.waiting = false
	clear(c.suspended)
	effects := []Effect{changed}
	held := c.held
	c.held = nil
	for _, h := range held {
		effects = append(effects, c.applyChange(h.offset, h.record)...)
	}
	c.through = max(c.through, c.tail.next-1)
	return slices.Clip(effects)
}

func wallOf(record any) clock.Wall {
	switch r := record.(type) {
	case PublishPreset:
		return r.Wall
	case SwitchPreset:
		return r.Wall
	case IssueKey:
		return r.Wall
	case WithdrawKey:
		return r.Wall
	}
	return 0
}
