package presetter

import (
	"errors"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func read(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	assert.NilError(t, err)
	return string(data)
}

func TestValidPreset(t *testing.T) {
	p, err := Parse([]byte(read(t, "good.toml")))
	assert.NilError(t, err)
	assert.DeepEqual(t, p, definer.Preset{
		Name:           "peak",
		RetryAllowance: 3,
		Domains:        []definer.DomainShare{{Domain: "okhotsk", PerMille: 500}, {Domain: "magadan", PerMille: 333}},
		Services: []definer.Service{
			{Name: "ice", Timeout: 1500, Routes: []definer.Route{
				{Method: "GET", Prefix: "/bulletins", Priority: identifier.Urgent, Idempotent: true},
				{Method: "*", Prefix: "/", Priority: identifier.Low, Idempotent: true},
			}},
			{Name: "bookings", Timeout: 5 * clock.Second, MaxBody: 64 << 10, Routes: []definer.Route{
				{Method: "POST", Prefix: "/escorts", Priority: identifier.High},
			}},
		},
		Teams: []definer.Team{
			{Name: "okhotskAgents", Rate: 200_500, Burst: 400_000, Weight: 4},
			{Name: "harbourMasters", Rate: 500, Burst: 10_000, Weight: 1},
		},
	})
}

// An operator publishes a preset with several mistakes during an incident. One answer must name each of them, and none
// may reach the log, from which it would be in force everywhere within seconds.
func TestAllFaultsAtOnce(t *testing.T) {
	cases := map[string]string{
		"faulty": read(t, "faulty.toml"),
		"empty":  "",
		"tables": "name = 1\nretryAllowance = \"3\"\ndomain = 4\nservice = [1]\nteam = {name = \"x\"}\n",
		"syntax": "name = \"peak\"\nname = \"again\"\n",
		"burst":  "name = \"p\"\nretryAllowance = 0\n[[domain]]\nname = \"a\"\nshare = \"40%\"\n[[service]]\nname = \"s\"\ntimeout = \"1s\"\nmaxBody = \"1B\"\n[[team]]\nname = \"t\"\nrate = \"1/s\"\nburst = 2\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			p, err := Parse([]byte(text))
			var f checker.Faults
			assert.Assert(t, errors.As(err, &f))
			golden.Assert(t, err.Error()+"\n", name+".golden")
			assert.DeepEqual(t, p, definer.Preset{})
		})
	}
}

// A value of the wrong type or a misspelt key in an otherwise valid preset must be refused: a team whose rate fell back
// to a default would be throttled, or would cause others to be throttled, without any message that gives the reason.
func TestWrongTypesAndUnknownKeysAreRejected(t *testing.T) {
	good := read(t, "good.toml")
	lines := regexp.MustCompile(`(?m)^([A-Za-z]+) = .*$`).FindAllStringSubmatchIndex(good, -1)
	assert.Equal(t, len(lines), 33)
	for _, l := range lines {
		key := good[l[2]:l[3]]
		for _, wrong := range []string{key + " = 1979-05-27", key + " = {a = 1}", key + " = [1]", key + " = 1.5", key + "s = \"2s\""} {
			_, err := Parse([]byte(good[:l[0]] + wrong + good[l[1]:]))
			assert.Assert(t, err != nil, "%s was accepted, want a fault", wrong)
			assert.ErrorContains(t, err, key)
		}
	}
}

var name = rapid.StringMatching(`[a-z][a-zA-Z0-9._-]{0,8}`)

func drawRoutes(rt *rapid.T) []definer.Route {
	var routes []definer.Route
	prefix := rapid.StringMatching(`(/[a-z]{1,2}){1,3}`)
	for range rapid.IntRange(0, 4).Draw(rt, "routes") {
		r := definer.Route{
			Method:     rapid.SampledFrom(methods).Draw(rt, "method"),
			Prefix:     prefix.Draw(rt, "prefix"),
			Priority:   rapid.SampledFrom(identifier.Priorities).Draw(rt, "priority"),
			Idempotent: rapid.Bool().Draw(rt, "idempotent"),
		}
		if shadowedBy(r, routes) == nil {
			routes = append(routes, r)
		}
	}
	return routes
}

func drawPreset(rt *rapid.T) definer.Preset {
	p := definer.Preset{
		Name:           identifier.Preset(name.Draw(rt, "name")),
		RetryAllowance: uint8(rapid.IntRange(0, maxRetryAllowance).Draw(rt, "allowance")),
	}
	names := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID[string])
	for _, n := range names.Draw(rt, "domains") {
		share := rapid.IntRange(100, 250).Draw(rt, "share")
		p.Domains = append(p.Domains, definer.DomainShare{Domain: identifier.FailureDomain(n), PerMille: share})
	}
	for _, n := range names.Draw(rt, "services") {
		p.Services = append(p.Services, definer.Service{
			Name:    identifier.Service(n),
			Timeout: clock.Duration(rapid.Int64Range(int64(minTimeout), int64(maxTimeout)).Draw(rt, "timeout")),
			MaxBody: rapid.Int64Range(0, checker.MaxSize).Draw(rt, "body"),
			Routes:  drawRoutes(rt),
		})
	}
	for _, n := range names.Draw(rt, "teams") {
		p.Teams = append(p.Teams, definer.Team{
			Name:   identifier.Team(n),
			Rate:   identifier.Tokens(rapid.Int64Range(1, 999_999_999_999).Draw(rt, "rate")),
			Burst:  identifier.Tokens(rapid.Int64Range(10, 1<<31-1).Draw(rt, "burst")) * identifier.TokensPerCall,
			Weight: rapid.IntRange(1, maxWeight).Draw(rt, "weight"),
		})
	}
	return p
}

// An operator prints the preset in force, changes one line and publishes it. If printing lost or rounded a value,
// publishing would change rules that the operator did not edit.
func TestPrintedPresetParsesToTheSame(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPreset(rt)
		text, err := Print(p)
		assert.NilError(rt, err)
		back, err := Parse(text)
		assert.NilError(rt, err)
		assert.DeepEqual(rt, back, p)
	})
}
