// Applying the log must give the same state at the same offset on every node. Otherwise two failure domains would keep
// running different presets, unnoticed until teams exceed their rates. The state therefore depends on nothing but the
// changes in their order: on no clock and no node name. The bounded list of outcomes is part of each snapshot.
//
// Example: apply(PublishPreset{Base: 0}) gives version 1; when the same record is read again, its id is found among the
// outcomes and nothing changes.

package configurer

import (
	"cmp"
	"slices"

	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// maxOutcomes bounds the number of outcomes kept. A repeated change whose outcome was evicted is still refused: its
// base is older than the version that the change itself created.
const maxOutcomes = 512

type configuration struct {
	version        identifier.Version
	presets        map[identifier.Preset]VersionedPreset
	inForce        *definer.Preset
	inForceName    identifier.Preset
	inForceVersion identifier.Version
	keys           map[identifier.KeyHash]*VersionedKey
	outcomes       []Outcome
	outcomeByID    map[ChangeID]Outcome
}

func newConfiguration() configuration {
	return configuration{
		presets:     map[identifier.Preset]VersionedPreset{},
		keys:        map[identifier.KeyHash]*VersionedKey{},
		outcomeByID: map[ChangeID]Outcome{},
	}
}

// apply decides on a change and returns its effect and true if it was accepted; any other record gives false.
func (f *configuration) apply(record any) (Changed, bool) {
	switch r := record.(type) {
	case PublishPreset:
		return f.decide(r.Change, f.publishConflict(r), func() Changed { return f.publish(r) })
	case SwitchPreset:
		return f.decide(r.Change, f.switchConflict(r), func() Changed { return f.switchTo(r) })
	case IssueKey:
		return f.decide(r.Change, f.issueConflict(r), func() Changed { return f.issue(r) })
	case WithdrawKey:
		return f.decide(r.Change, f.withdrawConflict(r), func() Changed { return f.withdraw(r) })
	}
	return Changed{}, false
}

func (f *configuration) decide(c Change, conflict *Conflict, accept func() Changed) (Changed, bool) {
	// An operator appends the same change again if the answer to the append was lost; the first decision stands.
	if _, decided := f.outcomeByID[c.ID]; decided {
		return Changed{}, false
	}
	if conflict != nil {
		f.recordOutcome(Outcome{ID: c.ID, Conflict: conflict})
		return Changed{}, false
	}
	f.version++
	f.recordOutcome(Outcome{ID: c.ID, Version: f.version})
	changed := accept()
	changed.Version = f.version
	return changed, true
}

func (f *configuration) recordOutcome(o Outcome) {
	if len(f.outcomes) == maxOutcomes {
		delete(f.outcomeByID, f.outcomes[0].ID)
		f.outcomes = slices.Delete(f.outcomes, 0, 1)
	}
	f.outcomes = append(f.outcomes, o)
	f.outcomeByID[o.ID] = o
}

func conflictOf(kind SubjectKind, name string, c Change, current identifier.Version, reason Reason) *Conflict {
	if c.ID == "" {
		reason = ReasonInvalid
	}
	if reason == 0 && c.Base != current {
		reason = ReasonChanged
	}
	if reason == 0 {
		return nil
	}
	return &Conflict{Subject: Subject{Kind: kind, Name: name}, Reason: reason, Base: c.Base, Current: current}
}

func (f *configuration) publishConflict(r PublishPreset) *Conflict {
	var reason Reason
	if r.Preset.Name == "" {
		reason = ReasonInvalid
	}
	return conflictOf(SubjectPreset, string(r.Preset.Name), r.Change, f.presets[r.Preset.Name].Version, reason)
}

func (f *configuration) publish(r PublishPreset) Changed {
	p := r.Preset
	f.presets[p.Name] = VersionedPreset{Preset: &p, Version: f.version}
	if f.inForceName != p.Name {
		return Changed{}
	}
	f.inForce = &p
	return Changed{InForce: true}
}

func (f *configuration) switchConflict(r SwitchPreset) *Conflict {
	var reason Reason
	if _, known := f.presets[r.Preset]; !known {
		reason = ReasonUnknownPreset
	}
	return conflictOf(SubjectInForce, "", r.Change, f.inForceVersion, reason)
}

func (f *configuration) switchTo(r SwitchPreset) Changed {
	f.inForceName = r.Preset
	f.inForce = f.presets[r.Preset].Preset
	f.inForceVersion = f.version
	return Changed{InForce: true}
}

func (f *configuration) issueConflict(r IssueKey) *Conflict {
	var reason Reason
	var current identifier.Version
	if r.Key.Hash == "" || r.Key.Team == "" {
		reason = ReasonInvalid
	}
	if k := f.keys[r.Key.Hash]; k != nil {
		current = k.Version
		if k.Withdrawn {
			reason = ReasonWithdrawn
		}
	}
	return conflictOf(SubjectKey, string(r.Key.Hash), r.Change, current, reason)
}

func (f *configuration) issue(r IssueKey) Changed {
	f.keys[r.Key.Hash] = &VersionedKey{Key: r.Key, Version: f.version}
	return Changed{}
}

func (f *configuration) withdrawConflict(r WithdrawKey) *Conflict {
	k := f.keys[r.Hash]
	if k == nil {
		return conflictOf(SubjectKey, string(r.Hash), r.Change, 0, ReasonUnknownKey)
	}
	var reason Reason
	if k.Withdrawn {
		reason = ReasonWithdrawn
	}
	return conflictOf(SubjectKey, string(r.Hash), r.Change, k.Version, reason)
}

// withdraw keeps the hash permanently: if it were deleted, a repeated IssueKey would make the key valid again.
func (f *configuration) withdraw(r WithdrawKey) Changed {
	k := f.keys[r.Hash]
	f.keys[r.Hash] = &VersionedKey{Key: k.Key, Version: f.version, Withdrawn: true}
	return Changed{Withdrawn: []identifier.KeyHash{r.Hash}}
}

func (f *configuration) snapshot(through identifier.Offset) Snapshot {
	return Snapshot{
		Through:        through,
		Version:        f.version,
		InForce:        f.inForceName,
		InForceVersion: f.inForceVersion,
		Presets:        f.sortedPresets(),
		Keys:           f.sortedKeys(),
		Outcomes:       slices.Clone(f.outcomes),
	}
}

func (f *configuration) sortedPresets() []VersionedPreset {
	presets := make([]VersionedPreset, 0, len(f.presets))
	for _, p := range f.presets {
		presets = append(presets, p)
	}
	slices.SortFunc(presets, func(a, b VersionedPreset) int { return cmp.Compare(a.Preset.Name, b.Preset.Name) })
	return presets
}

func (f *configuration) sortedKeys() []VersionedKey {
	keys := make([]VersionedKey, 0, len(f.keys))
	for _, k := range f.keys {
		keys = append(keys, *k)
	}
	slices.SortFunc(keys, func(a, b VersionedKey) int { return cmp.Compare(a.Key.Hash, b.Key.Hash) })
	return keys
}

// replace sets the whole state from a snapshot and returns what changed.
func (f *configuration) replace(s Snapshot) Changed {
	old := *f
	*f = newConfiguration()
	f.version = s.Version
	f.inForceName = s.InForce
	f.inForceVersion = s.InForceVersion
	for _, p := range s.Presets {
		f.presets[p.Preset.Name] = p
	}
	f.inForce = f.presets[s.InForce].Preset
	for _, k := range s.Keys {
		f.keys[k.Key.Hash] = &k
	}
	for _, o := range s.Outcomes {
		f.recordOutcome(o)
	}
	return Changed{Version: f.version, InForce: true, Withdrawn: old.withdrawnIn(f)}
}

func (f *configuration) withdrawnIn(later *configuration) []identifier.KeyHash {
	var withdrawn []identifier.KeyHash
	for hash, k := range f.keys {
		l := later.keys[hash]
		if !k.Withdrawn && (l == nil || l.Withdrawn) {
			withdrawn = append(withdrawn, hash)
		}
	}
	slices.Sort(withdrawn)
	return withdrawn
}
