package soaker

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// A caller that never returned after a refusal, or returned without end, would not be the load of the deployments.
func TestCallerReturnsOnce(t *testing.T) {
	tests := map[string]struct {
		status     int
		retryAfter string
		stays      bool
		want       []string
	}{
		"refused":                           {http.StatusServiceUnavailable, "0.05", false, []string{"r-1", "r-1" + returnSuffix}},
		"refused by rate":                   {http.StatusTooManyRequests, "0", false, []string{"r-1", "r-1" + returnSuffix}},
		"refused, and callers don't return": {http.StatusServiceUnavailable, "0.05", true, []string{"r-1"}},
		"refused without a time":            {http.StatusServiceUnavailable, "", false, []string{"r-1"}},
		"refused for longer than any":       {http.StatusServiceUnavailable, "3600", false, []string{"r-1"}},
		"failed":                            {http.StatusBadGateway, "0.05", false, []string{"r-1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				if test.retryAfter != "" {
					w.Header().Set("Retry-After", test.retryAfter)
				}
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			f := &fleet{record: NewRecord(), options: Options{Returns: !test.stays}}
			f.sendAndReturn(t.Context(), http.DefaultClient, "node-0", standin.Request{
				Address: strings.TrimPrefix(server.URL, "http://"), Host: host, Path: "/look/x", ID: "r-1", Timeout: time.Second,
			}, "steady", true)
			for _, id := range test.want {
				assert.Equal(t, f.record.sent[id].Answer.Status, test.status)
			}
			assert.Equal(t, len(f.record.sent), len(test.want))
			assert.Equal(t, int(calls.Load()), len(test.want))
		})
	}
}
