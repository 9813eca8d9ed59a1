package announcer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/pkg/announcer"
)

// Guards against planned stops that fail because a busy node answers one request later than the client waits.
func TestLeaveOutlastsRequestsThatTheNodeDoesNotAnswer(t *testing.T) {
	const slow = 2500 * time.Millisecond
	for name, c := range map[string]struct{ method string }{
		"leave unanswered": {http.MethodDelete},
		"state unanswered": {http.MethodGet},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var slowRequests atomic.Int32
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == c.method && slowRequests.Add(1) == 1 {
					time.Sleep(slow)
				}
				if r.Method == http.MethodGet {
					_, _ = w.Write([]byte(`{"state":"leaving","inFlight":0}`))
				}
			}))
			defer node.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			b := announcer.Backend{Endpoint: "bookings-1", Service: "bookings", Address: "127.0.0.1:1", Slots: 1, ConnectionLimit: 1}
			a, err := announcer.Announce(ctx, node.URL, b, func() float64 { return 0 })
			assert.NilError(t, err)
			assert.NilError(t, a.Leave(ctx))
			assert.Equal(t, slowRequests.Load() >= 2, true, "the request must be repeated")
		})
	}
}
