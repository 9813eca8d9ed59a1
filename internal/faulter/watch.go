// Every node is watched for the version of the configuration in force at it. What counts as a reversal: a node's
// version goes down, or a node that was started after a version had been in force everywhere puts an older one in force.
//
// Example: a replaced VM that comes up with version 11 while all others had 12 in force before it started is one.

package faulter

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const watchPeriod = 20 * time.Millisecond

// seen is what a node was last found to have in force.
type seen struct {
	version identifier.Version
	// floor was in force everywhere when the node was first seen.
	floor identifier.Version
}

type watcher struct {
	run *run

	mu       sync.Mutex
	nodes    map[identifier.Node]*seen
	everyone identifier.Version
	reverted int
}

func newWatcher(r *run) *watcher {
	return &watcher{run: r, nodes: make(map[identifier.Node]*seen)}
}

func (w *watcher) watch(ctx context.Context) {
	for clock.Sleep(ctx, watchPeriod) {
		w.look()
	}
}

func (w *watcher) look() {
	lowest := identifier.Version(-1)
	for i := range w.run.fleet.Members {
		node, version, ok := w.run.versionAt(i)
		if !ok {
			continue
		}
		w.note(node, version)
		if lowest < 0 || version < lowest {
			lowest = version
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.everyone = max(w.everyone, lowest)
}

func (w *watcher) note(n identifier.Node, v identifier.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.nodes[n]
	if s == nil {
		s = &seen{floor: w.everyone}
		w.nodes[n] = s
	}
	if v < s.version || v > 0 && s.version == 0 && v < s.floor {
		w.reverted++
	}
	s.version = v
}

func (w *watcher) reversals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reverted
}

// awaitVersion returns how long after the moment given the version was in force at all nodes that can know of it.
func (w *watcher) awaitVersion(ctx context.Context, v identifier.Version, since time.Time) (time.Duration, bool) {
	for {
		if w.run.allHave(v) {
			return time.Since(since), true
		}
		if !clock.Sleep(ctx, watchPeriod/4) {
			return 0, false
		}
	}
}
