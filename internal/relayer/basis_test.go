package relayer

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against a request that is decided by an older configuration although the newer one arrives while it waits: a body that is
// too long by the older one, and a route that the older one lacks.
func TestRequestIsDecidedByTheConfirmedConfiguration(t *testing.T) {
	for name, send := range map[string]func(*http.Request){
		"longer body": func(r *http.Request) {
			r.Method, r.ContentLength = http.MethodPost, 2000
			r.Body = readCloser{strings.NewReader(strings.Repeat("x", 2000))}
		},
		"added route": func(r *http.Request) { r.URL.Path = "/added/1" },
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(http.ResponseWriter, *http.Request) {})
			n := newNode(t, "a", "portal", e)
			older := configurationOf(matcher.NonIdempotent, 1)
			older.Limits.BodyBytes = 1000
			m, err := matcher.New(older)
			assert.NilError(t, err)
			n.ApplyEvent(conductor.ConfigurationRead{Matcher: m})
			n.ApplyEvent(conductor.ConfigurationProved{Version: older.Version, AsOf: clock.Boot{}.Now().Add(-3 * clock.Second)})
			n.options.Confirm = func(context.Context) {
				newer := configurationOf(matcher.NonIdempotent, 1)
				newer.Version, newer.Limits.BodyBytes = 4, 5000
				added := newer.Routes[0]
				added.Name, added.Prefix = "added", "/added/"
				newer.Routes = append(newer.Routes, added)
				n.configure(t, newer)
			}
			answer := sendRequest(t, n, send)
			assert.Equal(t, answer.StatusCode, http.StatusOK, answer.text)
			n.View(func(c *conductor.Conductor, _ clock.Time) { assert.Equal(t, c.Version(), identifier.Version(4)) })
		})
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }
