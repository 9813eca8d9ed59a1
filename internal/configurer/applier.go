// Every record is applied exactly once and in the log's order, because a late copy could otherwise restore an old state.
// After a gap the configuration can't be built from records alone: changes are held until a snapshot arrives that reaches
// the end of the gap. Until then the old state stays in force, except that withdrawals of keys take effect at once.
//
// Example: through is 10 and the log's earliest offset is 50: the changes at 60 and 70 are held. A snapshot with
// Through 64 closes the gap: it already contains the change at 60, and the change at 70 is applied after it.

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
		// A newer version wrote the record: it stays in the tail for peers, but is not applied here.
		c.undecodable++
		c.advance(r.Offset)
		return nil
	}
	switch v := value.(type) {
	case Snapshot:
		return c.applySnapshot(r.Offset, v, now, wall)
	case PublishPreset, SwitchPreset, IssueKey, WithdrawKey:
		c.oldestRecord.recordRead(wallOf(v), now, wall)
		return c.applyChange(r.Offset, v)
	}
	c.oldestRecord.recordRead(wall, now, wall)
	c.advance(r.Offset)
	return []Effect{Deliver{Offset: r.Offset, Value: value}}
}

func (c *Configurer) advance(offset identifier.Offset) {
	if !c.hasGap {
		c.through = max(c.through, offset)
	}
}

func (c *Configurer) applyChange(offset identifier.Offset, record any) []Effect {
	if c.hasGap {
		return c.hold(offset, record)
	}
	// A snapshot from a peer may already contain the change.
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

// hold keeps a change until the gap is closed. A withdrawal takes effect at once: a key is issued only once, so nothing
// in the gap can make it valid again, and if the withdrawal waited, the key could be used after the record was read.
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
		c.hasGap = true
		c.lastMissing = to - 1
		// The changes held before this gap can't be applied: the records between them and the gap's end are missing.
		c.held = nil
	}
	return []Effect{Skipped{From: from, To: to}}
}

func (c *Configurer) applySnapshot(offset identifier.Offset, s Snapshot, now clock.Time, wall clock.Wall) []Effect {
	c.oldestRecord.snapshotRead(s.Wall, now, wall)
	effects := c.adopt(s)
	c.advance(offset)
	return effects
}

// adopt replaces the configuration by a snapshot only if the snapshot is newer, so that no snapshot restores an old
// state.
func (c *Configurer) adopt(s Snapshot) []Effect {
	if s.Through <= c.through || (c.hasGap && s.Through < c.lastMissing) {
		return nil
	}
	changed := c.configuration.replace(s)
	c.through = s.Through
	c.hasGap = false
	clear(c.suspended)
	effects := []Effect{changed}
	held := c.held
	c.held = nil
	for _, h := range held {
		effects = append(effects, c.applyChange(h.offset, h.record)...)
	}
	// The records read after the last held change contain no other change that this version can apply.
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
