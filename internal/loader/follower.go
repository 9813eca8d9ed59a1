package loader

// Settings may change while a node runs, with or without a signal. The whole file is read and checked; an invalid file
// changes nothing and is reported once.
//
// Example: SIGHUP with bounds.revoke = "soon" in the file: the field and its value are reported, and the old settings
// stay in force.

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is the time between two reads of the file: a change without a signal takes effect within some seconds.
const pollInterval = 2 * time.Second

// Follow calls onChange with each change of a settings file, and onFailure for each invalid change and each failed read,
// until the context ends. A value on reload causes an immediate read.
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
