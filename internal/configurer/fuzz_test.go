package configurer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// model is the configuration that a single reader of the whole log would have after each record.
type model struct {
	version     identifier.Version
	subjects    map[string]identifier.Version
	content     map[identifier.Preset]uint8
	inForce     identifier.Preset
	teams       map[identifier.KeyHash]identifier.Team
	withdrawnAt map[identifier.KeyHash]identifier.Offset
	accepted    map[configurer.ChangeID]identifier.Version
	refused     map[configurer.ChangeID]bool
	// states holds the version, the preset in force with its content, and the valid keys, by offset.
	states []string
}

func newModel() *model {
	return &model{
		subjects: map[string]identifier.Version{}, content: map[identifier.Preset]uint8{},
		teams: map[identifier.KeyHash]identifier.Team{}, withdrawnAt: map[identifier.KeyHash]identifier.Offset{},
		accepted: map[configurer.ChangeID]identifier.Version{}, refused: map[configurer.ChangeID]bool{},
	}
}

func (a *model) catchUp(log []logged) {
	for o := len(a.states); o < len(log); o++ {
		a.read(identifier.Offset(o), log[o].value)
		a.states = append(a.states, a.String())
	}
}

func (a *model) String() string {
	return fmt.Sprint(a.version, a.inForce, a.content[a.inForce], a.teams)
}

func (a *model) read(o identifier.Offset, value any) {
	switch r := value.(type) {
	case configurer.PublishPreset:
		if a.accept(r.Change, "preset "+string(r.Preset.Name), true) {
			a.content[r.Preset.Name] = r.Preset.RetryAllowance
		}
	case configurer.SwitchPreset:
		if a.accept(r.Change, "in force", a.subjects["preset "+string(r.Preset)] > 0) {
			a.inForce = r.Preset
		}
	case configurer.IssueKey:
		_, gone := a.withdrawnAt[r.Key.Hash]
		if a.accept(r.Change, "key "+string(r.Key.Hash), !gone) {
			a.teams[r.Key.Hash] = r.Key.Team
		}
	case configurer.WithdrawKey:
		if a.accept(r.Change, "key "+string(r.Hash), a.teams[r.Hash] != "") {
			delete(a.teams, r.Hash)
			a.withdrawnAt[r.Hash] = o
		}
	}
}

func (a *model) accept(c configurer.Change, subject string, allowed bool) bool {
	if a.accepted[c.ID] > 0 || a.refused[c.ID] {
		return false
	}
	if !allowed || c.Base != a.subjects[subject] {
		a.refused[c.ID] = true
		return false
	}
	a.version++
	a.subjects[subject] = a.version
	a.accepted[c.ID] = a.version
	return true
}

type fuzz struct {
	w        *simulation
	expected *model
	changes  int
	sent     []any
	keys     []identifier.KeyHash
}

func (f *fuzz) change(t *rapid.T, subject configurer.Subject) configurer.Change {
	f.changes++
	m := f.w.nodes[rapid.IntRange(0, len(f.w.nodes)-1).Draw(t, "operator's node")]
	return configurer.Change{
		ID: configurer.ChangeID(fmt.Sprintf("change-%d", f.changes)), Wall: f.w.wall(), Base: m.c.Base(subject),
	}
}

func (f *fuzz) submit(t *rapid.T, value any) {
	f.sent = append(f.sent, value)
	delay := clock.Duration(rapid.IntRange(0, 5000).Draw(t, "append delay"))
	f.w.pendingAppends = append(f.w.pendingAppends, logged{value: value, at: f.w.now.Add(delay)})
}

func (f *fuzz) actions() map[string]func(*rapid.T) {
	preset := rapid.SampledFrom([]identifier.Preset{"ordinary", "peak", "maintenance", "never"})
	w := f.w
	return map[string]func(*rapid.T){
		"publish": func(t *rapid.T) {
			p := definer.Preset{Name: preset.Filter(func(p identifier.Preset) bool { return p != "never" }).Draw(t, "preset")}
			p.RetryAllowance = uint8(f.changes)
			c := f.change(t, configurer.Subject{Kind: configurer.SubjectPreset, Name: string(p.Name)})
			f.submit(t, configurer.PublishPreset{Change: c, Preset: p})
		},
		"switch": func(t *rapid.T) {
			c := f.change(t, configurer.Subject{Kind: configurer.SubjectInForce})
			f.submit(t, configurer.SwitchPreset{Change: c, Preset: preset.Draw(t, "preset")})
		},
		"issue key": func(t *rapid.T) {
			hash := identifier.KeyHash(fmt.Sprintf("hash-%d", f.changes))
			if len(f.keys) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
				hash = rapid.SampledFrom(f.keys).Draw(t, "key")
			}
			f.keys = append(f.keys, hash)
			f.submit(t, configurer.IssueKey{Change: f.change(t, configurer.Subject{}), Key: definer.Key{Hash: hash, Team: "team"}})
		},
		"withdraw key": func(t *rapid.T) {
			if len(f.keys) == 0 {
				t.Skip("no key")
			}
			hash := rapid.SampledFrom(f.keys).Draw(t, "key")
			c := f.change(t, configurer.Subject{Kind: configurer.SubjectKey, Name: string(hash)})
			f.submit(t, configurer.WithdrawKey{Change: c, Hash: hash})
		},
		"append again": func(t *rapid.T) {
			if len(f.sent) == 0 {
				t.Skip("nothing sent")
			}
			f.submit(t, rapid.SampledFrom(f.sent).Draw(t, "change"))
		},
		"other record": func(*rapid.T) {
			if !w.outage {
				w.append(configurer.Hint{Next: 7})
			}
		},
		"many records": func(*rapid.T) {
			for range 600 {
				w.append(configurer.Hint{Next: 7})
			}
		},
		"outage":    func(*rapid.T) { w.outage = !w.outage },
		"partition": func(*rapid.T) { w.partitioned = !w.partitioned },
		"cut from log": func(t *rapid.T) {
			d := rapid.IntRange(0, 2).Draw(t, "domain")
			for _, m := range w.nodes {
				m.logUnreachable = m.domain == d
			}
		},
		"loss": func(t *rapid.T) { w.loss = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "loss") },
		"pause": func(t *rapid.T) {
			m := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			m.paused = w.now.Add(clock.Duration(rapid.IntRange(100, 90_000).Draw(t, "pause")))
		},
		"replace": func(t *rapid.T) {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			w.nodes[i] = w.startNode(w.nodes[i].domain)
			w.updatePeers()
		},
		"wait":      func(t *rapid.T) { f.wait(clock.Duration(rapid.IntRange(50, 2000).Draw(t, "span"))) },
		"wait long": func(t *rapid.T) { f.wait(clock.Duration(rapid.IntRange(5000, 40_000).Draw(t, "span"))) },
		"":          func(t *rapid.T) { f.check(t) },
	}
}

func (f *fuzz) wait(span clock.Duration) { f.w.run(span) }

func (f *fuzz) check(t *rapid.T) {
	f.expected.catchUp(f.w.log)
	assert.Equal(t, f.w.fault, "")
	for _, m := range f.w.nodes {
		f.checkNode(t, m)
	}
}

func (f *fuzz) checkNode(t *rapid.T, m *simulatedNode) {
	offset := m.c.Offset()
	version := m.c.Version()
	assert.Assert(t, version >= m.version, "%s went back from version %d to %d", m.id, m.version, version)
	m.version = version
	preset, _ := m.c.InForce()
	teams := map[identifier.KeyHash]identifier.Team{}
	for _, h := range f.keys {
		if team, ok := m.c.Resolve(h); ok {
			teams[h] = team
		}
		withdrawnAt, withdrawn := f.expected.withdrawnAt[h]
		_, valid := teams[h]
		read := withdrawn && withdrawnAt <= offset && (!m.skipped[withdrawnAt] || m.c.Complete())
		assert.Assert(t, !valid || !read, "%s at offset %d accepts key %s, withdrawn at offset %d", m.id, offset, h, withdrawnAt)
	}
	if !m.c.Complete() {
		return
	}
	var name identifier.Preset
	var content uint8
	if preset != nil {
		name, content = preset.Name, preset.RetryAllowance
	}
	got := fmt.Sprint(version, name, content, teams)
	f.checkFreshness(t, m, offset)
	if offset < 0 && version == 0 {
		return
	}
	// A peer's state may put a node ahead of its position, but a node is never behind its position.
	for o := max(offset, 0); int(o) < len(f.expected.states); o++ {
		if f.expected.states[o] == got {
			return
		}
	}
	t.Fatalf("%s at offset %d has configuration %s, the log gives %s", m.id, offset, got, f.expected.states[max(offset, 0)])
}

// checkFreshness compares the age that a node reports with the records that it lacks. A log contact may be older than
// reported by the transit time of its messages: here up to 4 s at each hop once messages were delayed. Without delays
// the few hops of this small fleet take milliseconds, however long an outage lasts.
func (f *fuzz) checkFreshness(t *rapid.T, m *simulatedNode, offset identifier.Offset) {
	inTransit := 200 * clock.Millisecond
	if f.w.delayed {
		inTransit = 20 * clock.Second
	}
	missing := int(offset) + 1
	age := m.c.Freshness(f.w.now)
	if missing >= len(f.w.log) || age == configurer.NoContact {
		return
	}
	lacked := f.w.now.Sub(f.w.log[missing].at)
	assert.Assert(t, lacked <= age+inTransit, "%s has lacked record %d for %d ms but reports an age of %d ms", m.id, missing, lacked, age)
}

// heal ends all faults; unless every node has a gap, all nodes must then reach the log's end and agree with it.
func (f *fuzz) heal(t *rapid.T) {
	w := f.w
	w.outage, w.partitioned, w.loss = false, false, 0
	for _, m := range w.nodes {
		m.logUnreachable = false
		m.paused = 0
	}
	w.run(35 * clock.Second)
	w.appendsClosed = true
	w.run(3 * clock.Second)
	f.check(t)
	known := false
	for _, m := range w.nodes {
		known = known || m.c.Complete()
	}
	if !known {
		return
	}
	end := identifier.Offset(len(w.log) - 1)
	for _, m := range w.nodes {
		assert.Assert(t, m.c.Complete() && m.c.Offset() == end, "%s is at offset %d, want the last offset %d", m.id, m.c.Offset(), end)
		assert.Assert(t, m.c.Freshness(w.now) < 3*clock.Second)
		for o := identifier.Offset(0); o <= end; o++ {
			if _, other := w.log[o].value.(configurer.Hint); other {
				assert.Assert(t, m.covered[o], "%s never delivered record %d", m.id, o)
			}
		}
		for id, version := range f.expected.accepted {
			got, _ := m.c.VersionOf(id)
			assert.Equal(t, got, version)
		}
		for id := range f.expected.refused {
			o, ok := m.c.OutcomeOf(id)
			assert.Assert(t, ok && o.Conflict != nil && o.Conflict.Error() != "")
		}
	}
}

// The log loses answers and expires records, failure domains are partitioned, nodes are paused and replaced, and
// operators make conflicting changes. A fault would leave two domains with different configurations or make a withdrawn
// key valid again.
func TestFuzzConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fuzz{w: newSimulation(rapid.Uint64().Draw(t, "seed"), 2, 2, 1), expected: newModel()}
		t.Repeat(f.actions())
		f.heal(t)
	})
}
