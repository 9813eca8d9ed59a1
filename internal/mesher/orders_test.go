package mesher

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

func isTestOrder(key string) (followed, evacuation bool) {
	return key != "other", key != "rules"
}

func record(key, value string, offset identifier.Offset) watcher.Record {
	return watcher.Record{Key: key, Value: []byte(value), Offset: offset}
}

// An evacuation whose record is missing from a snapshot has ended. If this were missed, the domain's endpoints would stay
// unused permanently.
func TestKeyMissingFromSnapshotIsDropped(t *testing.T) {
	var o orders
	first := o.merge(watcher.Update{Records: []watcher.Record{record("rules", "1", 3), record("east", "{}", 4)}, Next: 5}, isTestOrder)
	assert.Assert(t, first.evacuations)
	assert.Equal(t, len(first.configurations("rules")), 1)
	again := o.merge(watcher.Update{Records: []watcher.Record{record("rules", "1", 3)}, Next: 9, Snapshot: true}, isTestOrder)
	assert.Assert(t, again.evacuations)
	assert.Equal(t, len(again.configurations("rules")), 0)
	relayed, changed := o.from(5)
	assert.Assert(t, changed == nil)
	assert.Equal(t, len(relayed), 1)
	assert.Equal(t, relayed[0].Key, "east")
	assert.Equal(t, len(relayed[0].Value), 0)
	assert.Equal(t, o.next(), identifier.Offset(9))
}

// An older order that arrives late must not replace a newer one.
func TestOlderOrderIsIgnored(t *testing.T) {
	var o orders
	o.merge(watcher.Update{Records: []watcher.Record{record("east", "", 7), record("other", "x", 8)}, Next: 9}, isTestOrder)
	late := o.merge(watcher.Update{Records: []watcher.Record{record("east", "{}", 5)}, Next: 6}, isTestOrder)
	assert.Equal(t, len(late.records), 0)
	assert.Equal(t, len(o.all()), 1)
	assert.Equal(t, o.next(), identifier.Offset(8))
}

// Guards against configurations that are never put in force, since their offsets are lower than those of a topic that is gone.
func TestOrdersOfTopicThatWasCreatedAgainAreTaken(t *testing.T) {
	var o orders
	o.merge(watcher.Update{Records: []watcher.Record{record("rules", "1", 56), record("east", "{}", 57)}, Next: 58}, isTestOrder)
	again := o.merge(watcher.Update{
		Records: []watcher.Record{record("rules", "2", 0)}, Next: 1, Snapshot: true, Restarted: true,
	}, isTestOrder)
	assert.Equal(t, len(again.configurations("rules")), 1)
	assert.Assert(t, again.evacuations)
	assert.Equal(t, len(o.all()), 1)
	assert.Equal(t, o.next(), identifier.Offset(1))
}
