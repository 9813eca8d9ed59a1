package mesher

// Calls to the platform's store are counted by topic and kind, since they cost money and are limited for the whole fleet.
//
// Example: a read that waits for a configuration counts as store_calls{topic="operators",call="wait"}.

import (
	"context"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

// countingTopic is a topic that counts the calls made to it.
type countingTopic struct {
	watcher.Topic
	name     string
	recorder *recorder.Recorder
}

// Newest counts as "newest".
func (t countingTopic) Newest(ctx context.Context) (watcher.Batch, error) {
	t.recorder.StoreCalled(t.name, "newest")
	return t.Topic.Newest(ctx)
}

// Read counts as "wait", and as "read" if it does not wait.
func (t countingTopic) Read(ctx context.Context, from identifier.Offset, wait clock.Duration) (watcher.Batch, error) {
	call := "wait"
	if wait == 0 {
		call = "read"
	}
	t.recorder.StoreCalled(t.name, call)
	return t.Topic.Read(ctx, from, wait)
}

// Write counts as "write".
func (t countingTopic) Write(ctx context.Context, key string, value []byte) error {
	t.recorder.StoreCalled(t.name, "write")
	return t.Topic.Write(ctx, key, value)
}
