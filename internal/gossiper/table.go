// A table holds the newest record of each member of one domain, and hashes of it that change with each
// record, so that two nodes find out by a few bytes whether they know the same.
//
// Example: two tables that differ in one member differ in one of 16 buckets, and only about a sixteenth of
// the versions is exchanged. Dead members are in no hash, since nodes forget them at different times.

package gossiper

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const bucketCount = 16

type entry struct {
	Member
	// changedAt is when this record was taken in.
	changedAt clock.Time
	// deadline is when a suspect member counts as dead; zero in tables of other domains.
	deadline clock.Time
	// confirming tells that this node pings the suspect member itself, next at nextPing.
	confirming bool
	nextPing   clock.Time
	// unverified tells that the member was suspect when it was first heard of, so that its endpoints are not used yet.
	unverified bool
	status     ReceivedStatus
}

type table struct {
	domain  identifier.FailureDomain
	members map[identifier.Node]*entry
	// up lists the members that are alive or suspect, by name.
	up         []identifier.Node
	down       []identifier.Node
	buckets    [bucketCount]uint64
	lastChange clock.Time
}

func newTable(domain identifier.FailureDomain) *table {
	return &table{domain: domain, members: map[identifier.Node]*entry{}}
}

func bucketOf(n identifier.Node) int {
	return int(xxh3.HashString(string(n)) % bucketCount)
}

// versionHash leaves suspicion out: it passes within seconds and would start exchanges for nothing.
func versionHash(n identifier.Node, i Incarnation) uint64 {
	return xxh3.HashStringSeed(string(n), uint64(i)+1)
}

func (t *table) hash() uint64 {
	h := uint64(0)
	for _, b := range t.buckets {
		h = h*31 + b
	}
	return h
}

// put takes a record in if it is newer, and returns the one it replaces.
func (t *table) put(m Member, now clock.Time) (old Member, ok bool) {
	e := t.members[m.Node]
	if e != nil {
		old = e.Member
		if !supersedes(m, old) {
			return old, false
		}
	} else {
		e = &entry{}
		t.members[m.Node] = e
	}
	if !m.up() {
		m.Endpoints = nil
	}
	t.updateIndexes(old, m)
	e.Member = m
	e.changedAt = now
	e.deadline = 0
	e.confirming = false
	t.lastChange = now
	return old, true
}

func (t *table) updateIndexes(old, m Member) {
	b := bucketOf(m.Node)
	if old.up() {
		t.buckets[b] ^= versionHash(old.Node, old.Incarnation)
	}
	if m.up() {
		t.buckets[b] ^= versionHash(m.Node, m.Incarnation)
	}
	if old.up() != m.up() {
		t.up = withPresence(t.up, m.Node, m.up())
	}
	if (old.State == Dead) != (m.State == Dead) {
		t.down = withPresence(t.down, m.Node, m.State == Dead)
	}
}

func withPresence(list []identifier.Node, n identifier.Node, present bool) []identifier.Node {
	i, found := slices.BinarySearch(list, n)
	// The old list may be in use by the caller of Members, so it isn't changed in place.
	switch {
	case present && !found:
		return slices.Insert(slices.Clone(list), i, n)
	case !present && found:
		return slices.Delete(slices.Clone(list), i, i+1)
	}
	return list
}

// clearPending drops the records of members that are down for longer than the term.
func (t *table) evictDown(now clock.Time, term clock.Duration) {
	for n, e := range t.members {
		if !e.up() && now.Sub(e.changedAt) > term {
			delete(t.members, n)
			t.down = withPresence(t.down, n, false)
		}
	}
}

// sortedNames returns the names of all members in the buckets of mask.
func (t *table) namesInBuckets(mask uint32) []identifier.Node {
	var names []identifier.Node
	for n := range t.members {
		if mask&(1<<bucketOf(n)) != 0 {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}
