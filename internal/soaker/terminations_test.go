package soaker

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A planned stop that was recorded like a kill would excuse the requests that it cuts, and signals sent after the exit would
// stop the node's next process.
func TestRestartTellsPlannedStopsApart(t *testing.T) {
	tests := map[string]struct {
		restart                  func(*node) error
		wantStops, wantDisrupted int
	}{
		"terminated": {func(n *node) error { return n.restartExclusively(syscall.SIGTERM, 0) }, 1, 0},
		"signalled repeatedly": {func(n *node) error {
			return n.restartWhile(syscall.SIGTERM, 0, n.signalUntilExit)
		}, 1, 0},
		"killed": {func(n *node) error { return n.restartExclusively(syscall.SIGKILL, 0) }, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			program := filepath.Join(t.TempDir(), "program")
			// It exits half a second after the first SIGTERM, whatever signals follow.
			text := "#!/bin/sh\ntrap '' HUP\ntrap 'trap \"\" TERM; sleep 0.5; exit 0' TERM\nwhile :; do sleep 0.02; done\n"
			assert.NilError(t, os.WriteFile(program, []byte(text), 0o700))
			n := &node{name: "node-1", instance: "i-1", program: program, record: NewRecord()}
			assert.NilError(t, n.start())
			// The shell needs a moment before it handles signals.
			time.Sleep(200 * time.Millisecond)
			assert.NilError(t, test.restart(n))
			time.Sleep(2 * signalInterval)
			select {
			case <-n.exited:
				t.Error("the new process has exited")
			default:
			}
			assert.Equal(t, len(n.record.stops["node-1"]), test.wantStops)
			assert.Equal(t, len(n.record.disruptions["node-1"]), test.wantDisrupted)
			assert.Equal(t, len(n.record.disruptions["i-1"]), test.wantDisrupted)
			for _, s := range append(n.record.stops["node-1"], n.record.disruptions["node-1"]...) {
				assert.Assert(t, !s.to.IsZero())
			}
			n.signal(syscall.SIGKILL)
			<-n.exited
		})
	}
}
