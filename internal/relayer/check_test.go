package relayer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// What an endpoint says of itself must never make a cold one pass for warm: it would be crashed by what a warm one bears.
func TestHealthAnswerTellsColdEndpointFromWarm(t *testing.T) {
	tests := map[string]struct {
		status int
		cold   string
		known  bool
		left   clock.Duration
		fails  bool
	}{
		"cold":           {200, "1200", true, 1200, false},
		"with a part":    {200, "1200.7", true, 1200, false},
		"warm":           {200, "0", true, 0, false},
		"says nothing":   {200, "", true, 0, false},
		"ill":            {503, "", false, 0, false},
		"ill and cold":   {503, "900", true, 900, false},
		"negative":       {200, "-5", false, 0, true},
		"with a unit":    {200, "1.2s", false, 0, true},
		"not a number":   {200, "NaN", false, 0, true},
		"beyond all use": {200, "1e300", false, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.URL.Path == "/health")
				w.Header().Set("X-Instance", "i-1")
				if test.cold != "" {
					w.Header().Set("X-Cold", test.cold)
				}
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			r := New(Options{
				Clock: clock.New(), Headers: Headers{Instance: "X-Instance", ColdLeft: "X-Cold"},
				EndpointAddress: strings.TrimPrefix(server.URL, "http://"), Connections: requester.NewConnections(10),
			})
			checked, err := r.requestHealth("/health")
			assert.Equal(t, err != nil, test.fails, "%v", err)
			assert.DeepEqual(t, checked, conductor.EndpointChecked{Endpoint: "i-1", ColdLeft: test.left, Known: test.known})
		})
	}
}
