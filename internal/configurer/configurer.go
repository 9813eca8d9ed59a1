// The tail of records and the configuration are in one reducer, so that a record is applied exactly in its place in the
// log's order, whether its bytes came from the log or from a peer. Two positions are kept: tail.next, before which all
// records were delivered, and through, up to which the configuration is applied. A snapshot moves only the second.
//
// Example: c.LogRead(Batch{Next: 3, Records: 0..2}, now, wall) returns Changed and Deliver effects and a
// Send{Hint} to some peers; c.Resolve(hash) then gives the team.

package configurer

import (
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Options are the parameters of a Configurer; the zero value of each number means its default.
type Options struct {
	Node identifier.Node
	Rand *rand.Rand
	// Decode turns a record's bytes into the value that was encoded.
	Decode func([]byte) (any, error)
	// First is the offset of the first record ever written to the log.
	First identifier.Offset
	// Retention is how long the log keeps records.
	Retention clock.Duration
	// MaxSilence is the greatest Freshness, an age, at which MayServe still holds; 0 sets no limit.
	MaxSilence clock.Duration
	// Readers is how many nodes per failure domain read the log.
	Readers int
	// Fanout is how many peers of the local failure domain get each hint of new records.
	Fanout int
	// MaxRecords and MaxBytes are upper bounds of the tail kept for peers.
	MaxRecords int
	MaxBytes   int
}

// Defaults of Options.
const (
	DefaultRetention  = 24 * clock.Hour
	DefaultReaders    = 2
	DefaultFanout     = 3
	DefaultMaxRecords = 8192
	DefaultMaxBytes   = 4 << 20
)

// Configurer is the reducer of one node.
type Configurer struct {
	options       Options
	configuration configuration
	// through is the offset up to which records are applied to the configuration.
	through identifier.Offset
	// hasGap is set from the loss of records until a snapshot replaces them: one whose Through reaches lastMissing, the
	// last offset of the gap.
	lastMissing identifier.Offset
	hasGap      bool
	held        []heldChange
	// suspended holds the keys whose withdrawal was read during a gap; they are invalid at once.
	suspended    map[identifier.KeyHash]bool
	tail         tail
	relay        relay
	reader       reader
	contact      contact
	oldestRecord oldestRecord
	// undecodable counts the records that this version could not decode.
	undecodable int64
}

type heldChange struct {
	offset identifier.Offset
	record any
}

// New returns a Configurer with an empty configuration that has read no records.
func New(o Options) *Configurer {
	o.Retention = orDefault(o.Retention, DefaultRetention)
	o.Readers = orDefault(o.Readers, DefaultReaders)
	o.Fanout = orDefault(o.Fanout, DefaultFanout)
	o.MaxRecords = orDefault(o.MaxRecords, DefaultMaxRecords)
	o.MaxBytes = orDefault(o.MaxBytes, DefaultMaxBytes)
	return &Configurer{
		options:       o,
		configuration: newConfiguration(),
		through:       o.First - 1,
		suspended:     map[identifier.KeyHash]bool{},
		tail:          tail{start: o.First, next: o.First},
		reader:        reader{catchingUp: true},
	}
}

func orDefault[T int | clock.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Resolve returns the team of a valid key.
func (c *Configurer) Resolve(hash identifier.KeyHash) (identifier.Team, bool) {
	k := c.configuration.keys[hash]
	if k == nil || k.Withdrawn {
		return "", false
	}
	if len(c.suspended) > 0 && c.suspended[hash] {
		return "", false
	}
	return k.Key.Team, true
}

// InForce returns the preset in force, nil before the first switch, and the version of its last change.
func (c *Configurer) InForce() (*definer.Preset, identifier.Version) {
	f := &c.configuration
	return f.inForce, max(f.inForceVersion, f.presets[f.inForceName].Version)
}

// Version returns the version of the configuration: the number of accepted changes.
func (c *Configurer) Version() identifier.Version {
	return c.configuration.version
}

// Base returns the version that a change of the subject must be made against.
func (c *Configurer) Base(s Subject) identifier.Version {
	switch s.Kind {
	case SubjectPreset:
		return c.configuration.presets[identifier.Preset(s.Name)].Version
	case SubjectInForce:
		return c.configuration.inForceVersion
	case SubjectKey:
		if k := c.configuration.keys[identifier.KeyHash(s.Name)]; k != nil {
			return k.Version
		}
	}
	return 0
}

// Preset returns a published preset.
func (c *Configurer) Preset(name identifier.Preset) (VersionedPreset, bool) {
	p, ok := c.configuration.presets[name]
	return p, ok
}

// Presets returns all published presets by name.
func (c *Configurer) Presets() []VersionedPreset {
	return c.configuration.sortedPresets()
}

// Keys returns all keys that were ever issued, by hash.
func (c *Configurer) Keys() []VersionedKey {
	return c.configuration.sortedKeys()
}

// Offset returns the offset of the last record delivered.
func (c *Configurer) Offset() identifier.Offset {
	return c.tail.next - 1
}

// Complete reports whether the configuration was built without a gap in the log's records.
func (c *Configurer) Complete() bool {
	return !c.hasGap
}

// Undecodable returns how many records this version could not decode.
func (c *Configurer) Undecodable() int64 {
	return c.undecodable
}

// OutcomeOf returns the decision on a change, once its record was read.
func (c *Configurer) OutcomeOf(id ChangeID) (Outcome, bool) {
	o, ok := c.configuration.outcomeByID[id]
	return o, ok
}

// VersionOf returns the version that an accepted change created.
func (c *Configurer) VersionOf(id ChangeID) (identifier.Version, bool) {
	o := c.configuration.outcomeByID[id]
	return o.Version, o.Version > 0
}
