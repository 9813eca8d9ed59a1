package loader

// Settings may change while a node runs, with a signal or without. They are read and checked whole; a faulty file changes
// nothing, and is told of once.
//
// Example: SIGHUP with bounds.revoke = "soon" in the file: told with the field and its value, the old settings stay.

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is how often the file is looked at: a change without a signal is in force some seconds later.
const pollInterval = 2 * time.Second

// Follow calls took with each change of a settings file, and failed with each change that is faulty, until the context
// ends. A value on hurry has the file looked at once.
func Follow(ctx context.Context, file string, reload <-chan os.Signal, onChange func(Sidecar), onFailure func(error)) {
	last, _ := os.ReadFile(file)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			onFailure(err)
			continue
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		s, err := ParseSidecar(data)
		if err != nil {
			onFailure(err)
			continue
		}
		onChange(s)
	}
}
