package relayer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// No health answer may make a cold endpoint count as warm: the load that a warm endpoint bears would crash it.
func TestHealthAnswerTellsColdEndpointFromWarm(t *testing.T) {
	tests := map[string]struct {
		status int
		cold   string
		known  bool
		left   clock.Duration
		fails  bool
	}{
		"cold":               {200, "1200", true, 1200, false},
		"with a fraction":    {200, "1200.7", true, 1200, false},
		"warm":               {200, "0", true, 0, false},
		"not reported":       {200, "", true, 0, false},
		"unhealthy":          {503, "", false, 0, false},
		"unhealthy and cold": {503, "900", true, 900, false},
		"negative":           {200, "-5", false, 0, true},
		"with a unit":        {200, "1.2s", false, 0, true},
		"not a number":       {200, "NaN", false, 0, true},
		"too large":          {200, "1e300", false, 0, true},
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

// Guards against a cold endpoint that counts as warm, since the late copy of its answer to a request was taken for its health
// answer.
func TestLateCopyIsNotTakenForHealthAnswer(t *testing.T) {
	const application = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"
	const health = "HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nX-Cold: 1200\r\nContent-Length: 0\r\n\r\n"
	address := listen(t, func(n net.Conn) {
		reader, copied := bufio.NewReader(n), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer := health
			if r.URL.Path != "/health" {
				answer = application
			}
			if _, err := io.WriteString(n, copied+answer); err != nil {
				return
			}
			copied = answer
		}
	})
	r := New(Options{
		Clock: clock.New(), Headers: Headers{RequestID: "X-Id", Instance: "X-Instance", ColdLeft: "X-Cold"},
		EndpointAddress: address, Connections: requester.NewConnections(10),
	})
	response, err := r.endpoints.Do(context.Background(), r.options.EndpointAddress, &requester.Request{
		Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, ID: "a",
	})
	assert.NilError(t, err)
	response.Close(true)
	for range 2 {
		checked, err := r.requestHealth("/health")
		assert.NilError(t, err)
		assert.DeepEqual(t, checked, conductor.EndpointChecked{Endpoint: "i-1", ColdLeft: 1200, Known: true})
	}
}
