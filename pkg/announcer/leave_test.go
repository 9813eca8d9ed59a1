package announcer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/pkg/announcer"
)

// A node may have removed a backend server because its heartbeats were late. The server's planned stop must not fail
// then, since there are no calls to wait for.
func TestLeaveEndsWhenNodeHasRemovedTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		fails  bool
	}{
		"forgotten":       {status: http.StatusNotFound},
		"node in trouble": {status: http.StatusInternalServerError, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					w.WriteHeader(c.status)
				}
			}))
			defer node.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			b := announcer.Backend{Endpoint: "bookings-1", Service: "bookings", Address: "127.0.0.1:1", Slots: 1, ConnectionLimit: 1}
			a, err := announcer.Announce(ctx, node.URL, b, func() float64 { return 0 })
			assert.NilError(t, err)
			assert.Equal(t, a.Leave(ctx) != nil, c.fails)
		})
	}
}
