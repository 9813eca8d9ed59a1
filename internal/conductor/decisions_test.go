package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against logs that don't show which requests an older configuration decided, and how old its proof was.
func TestRequestsDecidedByOlderConfigurationAreReported(t *testing.T) {
	obs, desk := route("obs", "portal", matcher.Idempotent), route("obs", "desk", matcher.Idempotent)
	retimed := obs
	retimed.Timeout = 300
	tests := map[string]struct {
		path, key string
		next      matcher.Configuration
		status    int
		want      bool
	}{
		"moved route":        {path: "/obs/x", key: "k", next: configuration(4, desk), want: true},
		"dropped route":      {path: "/obs/x", key: "k", next: configuration(4), want: true},
		"other timeout":      {path: "/obs/x", key: "k", next: configuration(4, retimed), want: true},
		"same route":         {path: "/obs/x", key: "k", next: configuration(4, obs)},
		"added route":        {path: "/new/x", key: "k", next: configuration(4, route("new", "desk", matcher.Idempotent)), status: 404, want: true},
		"route still absent": {path: "/new/x", key: "k", next: configuration(4, obs), status: 404},
		"key still unknown":  {path: "/obs/x", key: "z", next: configuration(4, obs), status: 401},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := readyConductor(t, matcher.Idempotent, peer("a", "portal"))
			r := arrival(1, test.path)
			r.Request, r.Key, r.Boot = "r-1", test.key, boot+900
			if refused, ok := c.Apply(r, 900)[0].(Refuse); ok {
				assert.DeepEqual(t, *refused.Basis, Basis{Version: 3, ProofAge: 900})
			}
			m, err := matcher.New(test.next)
			assert.NilError(t, err)
			in := onlyEffect[ConfigurationInForce](t, c.Apply(ConfigurationRead{Matcher: m, At: boot + 1000, From: "a"}, 1000))
			assert.Equal(t, in.Previous, identifier.Version(3))
			assert.Equal(t, in.Within, 1000*clock.Millisecond)
			assert.Equal(t, in.From, identifier.Node("a"))
			assert.Equal(t, in.OutdatedCount == 1, test.want)
			if test.want {
				o := in.Outdated[0]
				assert.Equal(t, o.Request, identifier.Request("r-1"))
				assert.Equal(t, o.Status, test.status)
				assert.Equal(t, o.Age, 100*clock.Millisecond)
				assert.Equal(t, o.Basis.ProofAge, 900*clock.Millisecond)
			}
		})
	}
}
