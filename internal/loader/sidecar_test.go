package loader

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const goodSidecar = `
[node]
name = "n-1"
failureDomain = "west"

[endpoint]
service = "portal"
address = "10.1.0.26:80"

[listen]
outbound = "10.1.0.26:1"
inbound = "10.1.0.26:2"
readiness = "10.1.0.26:3"
announcements = "10.1.0.26:4"
peer = "10.1.0.26:5"
metrics = "10.1.0.26:6"

[store]
address = "10.200.1.7:80"

[regions]
west = "mainland"
east-1 = "mainland"
south = "islands"

[limits]
memoryMb = 284

[bounds]
revoke = "4s"
rateExcess = 0.1
`

func TestParseSidecar(t *testing.T) {
	s, err := ParseSidecar([]byte(goodSidecar))
	assert.NilError(t, err)
	assert.Equal(t, s.Bounds.Revoke, 4*clock.Second)
	assert.Equal(t, s.Bounds.RateExcess, 0.1)
	assert.Equal(t, s.Bounds.ConfigurationInForce, defaultInForce)
	// A bound that the settings leave out gets its documented default, not zero.
	assert.Equal(t, s.Bounds.Grace, defaultGrace)
	assert.Equal(t, s.MemoryMB, 284)
	assert.DeepEqual(t, s.Regions, map[identifier.FailureDomain]identifier.Region{
		"west": "mainland", "east-1": "mainland", "south": "islands",
	})
}

// A bound that was calculated may have a fraction. A node that refused it would not start and leave its endpoint without
// requests.
func TestBoundsWithFractions(t *testing.T) {
	tests := map[string]func(SidecarBounds) float64{
		"repeatRatio": func(b SidecarBounds) float64 { return b.RetryRatio },
		"repeatSlack": func(b SidecarBounds) float64 { return b.RetrySlack },
		"rateExcess":  func(b SidecarBounds) float64 { return b.RateExcess },
		"rateSlack":   func(b SidecarBounds) float64 { return b.RateSlack },
		"coldExcess":  func(b SidecarBounds) float64 { return b.ColdExcess },
		"coldSlack":   func(b SidecarBounds) float64 { return b.ColdSlack },
	}
	plain := strings.Replace(goodSidecar, "rateExcess = 0.1\n", "", 1)
	for name, read := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := ParseSidecar([]byte(plain + name + " = 0.408163265306122\n"))
			assert.NilError(t, err)
			assert.Equal(t, read(s.Bounds), 0.408163265306122)
			s, err = ParseSidecar([]byte(plain + name + " = 1\n"))
			assert.NilError(t, err)
			assert.Equal(t, read(s.Bounds), 1.0)
			_, err = ParseSidecar([]byte(plain + name + " = -0.5\n"))
			assert.ErrorContains(t, err, name)
		})
	}
	for name, read := range map[string]func(SidecarBounds) clock.Duration{
		"revoke":               func(b SidecarBounds) clock.Duration { return b.Revoke },
		"configurationInForce": func(b SidecarBounds) clock.Duration { return b.ConfigurationInForce },
		"drain":                func(b SidecarBounds) clock.Duration { return b.Drain },
		"grace":                func(b SidecarBounds) clock.Duration { return b.Grace },
		"repeatWindow":         func(b SidecarBounds) clock.Duration { return b.RetryWindow },
		"rateWindow":           func(b SidecarBounds) clock.Duration { return b.RateWindow },
		"evacuate":             func(b SidecarBounds) clock.Duration { return b.Evacuate },
	} {
		t.Run(name, func(t *testing.T) {
			faulty := strings.Replace(plain, "revoke = \"4s\"\n", "", 1)
			s, err := ParseSidecar([]byte(faulty + name + " = \"2.5s\"\n"))
			assert.NilError(t, err)
			assert.Equal(t, read(s.Bounds), 2500*clock.Millisecond)
			_, err = ParseSidecar([]byte(faulty + name + " = 2500\n"))
			assert.ErrorContains(t, err, name)
		})
	}
}

// An invalid file must prevent the node from starting, and each fault must name its field and value.
func TestFaultySidecarSettings(t *testing.T) {
	tests := map[string][3]string{
		"name":           {`name = "n-1"`, ``, "node.name"},
		"address":        {`"10.1.0.26:80"`, `"nowhere"`, "endpoint.address"},
		"duration":       {`"4s"`, `"soon"`, "bounds.revoke"},
		"too long":       {`"4s"`, `"900h"`, "bounds.revoke"},
		"number":         {`rateExcess = 0.1`, `rateExcess = "some"`, "bounds.rateExcess"},
		"out of bounds":  {`rateExcess = 0.1`, `rateExcess = 7.5`, "bounds.rateExcess"},
		"unknown":        {`rateExcess = 0.1`, `excess = 0.1`, "bounds.excess"},
		"missing listen": {`peer = "10.1.0.26:5"`, ``, "listen.peer"},
		"descriptors":    {`memoryMb = 284`, "memoryMb = 284\ndescriptors = 10", "limits.descriptors"},
		"memory":         {`memoryMb = 284`, `memoryMb = 0`, "limits.memoryMb"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(goodSidecar, test[0]))
			_, err := ParseSidecar([]byte(strings.Replace(goodSidecar, test[0], test[1], 1)))
			var faults checker.Faults
			assert.Assert(t, errors.As(err, &faults))
			assert.Equal(t, faults[0].Field, test[2])
		})
	}
}

// The settings file of a running node changes, first to an invalid and then to a valid one. If part of an invalid file came
// into force, or the node stopped because of it, callers would lose requests.
func TestFollow(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(goodSidecar)
	reload := make(chan os.Signal, 1)
	changes := make(chan Sidecar, 1)
	failures := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		Follow(ctx, file, reload, func(s Sidecar) { changes <- s }, func(err error) { failures <- err })
		close(done)
	}()
	// Follow must have read the first content before it changes.
	time.Sleep(50 * time.Millisecond)
	write(strings.Replace(goodSidecar, `"4s"`, `"soon"`, 1))
	reload <- syscall.SIGHUP
	assert.ErrorContains(t, <-failures, "bounds.revoke")
	write(strings.Replace(goodSidecar, `"4s"`, `"3s"`, 1))
	// Without a signal the change is found at the next poll.
	assert.Equal(t, (<-changes).Bounds.Revoke, 3*clock.Second)
	cancel()
	<-done
}
