// The watcher samples the version of the configuration in force at every node. A reversal is counted when a node's
// version decreases, or when a node first seen after a version was in force at every running node puts an older one in
// force.
//
// Example: a replaced VM that starts with version 11 after all others had version 12 in force counts as a reversal.

package faulter

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const watchPeriod = 20 * time.Millisecond

// observed is the version in force at a node when it was last sampled.
type observed struct {
	version identifier.Version
	// minVersion was in force at every running node when this node was first seen.
	minVersion identifier.Version
}

type watcher struct {
	run *run

	mu                sync.Mutex
	nodes             map[identifier.Node]*observed
	versionEverywhere identifier.Version
	reversalCount     int
}

func newWatcher(r *run) *watcher {
	return &watcher{run: r, nodes: make(map[identifier.Node]*observed)}
}

func (w *watcher) watch(ctx context.Context) {
	for clock.Sleep(ctx, watchPeriod) {
		w.sample()
	}
}

func (w *watcher) sample() {
	lowest := identifier.Version(-1)
	for i := range w.run.fleet.Members {
		node, version, ok := w.run.versionAt(i)
		if !ok {
			continue
		}
		w.recordVersion(node, version)
		if lowest < 0 || version < lowest {
			lowest = version
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versionEverywhere = max(w.versionEverywhere, lowest)
}

func (w *watcher) recordVersion(n identifier.Node, v identifier.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.nodes[n]
	if s == nil {
		s = &observed{minVersion: w.versionEverywhere}
		w.nodes[n] = s
	}
	if v < s.version || v > 0 && s.version == 0 && v < s.minVersion {
		w.reversalCount++
	}
	s.version = v
}

func (w *watcher) reversals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reversalCount
}

// awaitVersion returns the time from since until the version was in force at every reachable node.
func (w *watcher) awaitVersion(ctx context.Context, v identifier.Version, since time.Time) (time.Duration, bool) {
	for {
		if w.run.inForceEverywhere(v) {
			return time.Since(since), true
		}
		if !clock.Sleep(ctx, watchPeriod/4) {
			return 0, false
		}
	}
}
