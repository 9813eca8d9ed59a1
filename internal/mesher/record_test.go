package mesher

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

// refusingTopic refuses writes until a given time, and records the key of each attempt.
type refusingTopic struct {
	memoryTopic
	attempts chan string
	until    time.Time
}

func (r *refusingTopic) Write(ctx context.Context, key string, value []byte) error {
	r.attempts <- key
	if time.Now().Before(r.until) {
		return watcher.RefusedError{Status: 503}
	}
	return r.memoryTopic.Write(ctx, key, value)
}

// During an outage of the store, attempts to write a record must back off, or a large fleet overloads the recovering store. A
// record that has changed is attempted at once.
func TestRecordWritesBackOff(t *testing.T) {
	topic := &refusingTopic{attempts: make(chan string, 100), until: time.Now().Add(3 * time.Second)}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	n := &node{
		records:  make(chan exchanger.Member, maxQueuedRecords),
		recorder: recorder.New(io.Discard, "n", clock.New().Now),
		options:  Options{Platform: Platform{Members: topic}},
	}
	n.records <- exchanger.Member{Node: "n", Sequence: 1}
	go n.writeRecords(ctx)
	time.Sleep(2800 * time.Millisecond)
	assert.Assert(t, len(topic.attempts) >= 3 && len(topic.attempts) <= 5, "%d attempts", len(topic.attempts))
	before := len(topic.attempts)
	n.records <- exchanger.Member{Node: "n", Sequence: 2}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(topic.attempts), before+1)
	for ctx.Err() == nil && n.writtenSequence.Load() != 2 {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, n.writtenSequence.Load(), int64(2))
	assert.Equal(t, len(topic.records), 1)
}
