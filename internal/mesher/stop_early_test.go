package mesher

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// A node that is told to stop while it opens its listeners would end at once, with an error, whatever it has read on them.
func TestStopDuringStartIsPlanned(t *testing.T) {
	f := &fleet{}
	ctx, cancel := context.WithCancel(context.Background())
	settings := loader.Sidecar{
		Name: "a", Domain: "west", Service: "desk", Endpoint: freeAddress(t),
		Listen: loader.SidecarListen{
			Outbound: freeAddress(t), Inbound: freeAddress(t), Readiness: freeAddress(t),
			Announcements: freeAddress(t), Peer: freeAddress(t), Metrics: freeAddress(t),
		},
		MemoryMB: 256, Descriptors: 128,
		Bounds: loader.SidecarBounds{
			Revoke: clock.Second, ConfigurationInForce: clock.Second, Drain: clock.Second, Grace: 2 * clock.Second,
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * clock.Second,
		},
	}
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, Options{Settings: settings, Out: io.Discard, Platform: Platform{
			Operators: &f.operators, Members: &f.members, ConfigurationKey: "rules",
			Decode:          func([]byte) (matcher.Configuration, error) { return matcher.Configuration{}, nil },
			EvacuatedDomain: func(string) (identifier.FailureDomain, bool) { return "", false },
			Announcements: func(func(registrar.Announcement) error, func(identifier.Endpoint), func(error)) http.Handler {
				cancel()
				// A paused VM delays the rest of the start.
				time.Sleep(50 * time.Millisecond)
				return http.NotFoundHandler()
			},
		}})
	}()
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the node has not stopped within 5 s")
	}
}
