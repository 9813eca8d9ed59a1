// A table holds the newest record of each member of one domain, and hashes over the records, so that two nodes can
// compare their tables with a few bytes.
//
// Example: two tables that differ in one member differ in one of 16 buckets, and only about a sixteenth of the versions
// is exchanged. Dead members are in no hash, since nodes evict them at different times.

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
	// changedAt is when this record was stored.
	changedAt clock.Time
	// deadline is when a suspect member counts as dead; zero in tables of other domains.
	deadline clock.Time
	// confirming means that this node pings the suspect member itself, next at nextPing.
	confirming bool
	nextPing   clock.Time
	// unverified means that the member was suspect in its first record here, so its endpoints are not used yet.
	unverified bool
	status     ReceivedStatus
}

type table struct {
	domain  identifier.FailureDomain
	members map[identifier.Node]*entry
	// up lists the members that are alive or suspect, dead the dead ones, both sorted; members that have left are in
	// neither.
	up         []identifier.Node
	dead       []identifier.Node
	buckets    [bucketCount]uint64
	lastChange clock.Time
}

func newTable(domain identifier.FailureDomain) *table {
	return &table{domain: domain, members: map[identifier.Node]*entry{}}
}

func bucketOf(n identifier.Node) int {
	return int(xxh3.HashString(string(n)) % bucketCount)
}

// versionHash leaves out suspicion: it is over within seconds, and hashing it would start needless exchanges.
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

// put stores a record if it is newer, and returns the record it replaces.
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
		t.dead = withPresence(t.dead, m.Node, m.State == Dead)
	}
}

func withPresence(list []identifier.Node, n identifier.Node, present bool) []identifier.Node {
	i, found := slices.BinarySearch(list, n)
	// The caller of Members may still hold the old slice, so it isn't changed in place.
	switch {
	case present && !found:
		return slices.Insert(slices.Clone(list), i, n)
	case !present && found:
		return slices.Delete(slices.Clone(list), i, i+1)
	}
	return list
}

// evictDown evicts the records of members that died or left longer than the term ago.
func (t *table) evictDown(now clock.Time, term clock.Duration) {
	for n, e := range t.members {
		if !e.up() && now.Sub(e.changedAt) > term {
			delete(t.members, n)
			t.dead = withPresence(t.dead, n, false)
		}
	}
}

// namesInBuckets returns the names of all members in the buckets of mask, sorted.
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
