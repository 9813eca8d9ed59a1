package matcher

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func route(name, host, prefix string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, Timeout: clock.Second,
		Parts: []Part{{Service: "portal", Weight: 1}},
	}
}

func configuration(routes ...Route) Configuration {
	return Configuration{
		Version:  7,
		Routes:   routes,
		Services: []Service{{Name: "portal", Connections: 10}},
		Teams: []Team{
			{Name: "parish", Keys: []string{"k1", "k2"}},
			{Name: "school", Keys: []string{"k3"}},
		},
	}
}

func TestMatch(t *testing.T) {
	m, err := New(configuration(
		route("short", "a.example", "/a/"),
		route("long", "a.example", "/a/b/"),
		route("other", "b.example", "/"),
	))
	assert.NilError(t, err)
	tests := map[string]struct {
		host, path string
		want       string
	}{
		"longest prefix":             {"a.example", "/a/b/c", "long"},
		"whole segments only":        {"a.example", "/a/bc", "short"},
		"path without final slash":   {"a.example", "/a", ""},
		"no route":                   {"a.example", "/c/", ""},
		"upper case and port":        {"A.Example:8080", "/a/x", "short"},
		"root prefix":                {"b.example", "/anything", "other"},
		"unknown host":               {"c.example", "/a/", ""},
		"prefix of another host":     {"b.example", "/a/b/", "other"},
		"longest prefix listed last": {"a.example", "/a/b/", "long"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := m.Match(test.host, test.path)
			assert.Equal(t, ok, test.want != "")
			if ok {
				assert.Equal(t, r.Name, test.want)
			}
		})
	}
}

func TestTeamOf(t *testing.T) {
	m, err := New(configuration(route("r", "h", "/")))
	assert.NilError(t, err)
	for key, want := range map[string]identifier.Team{"k1": "parish", "k2": "parish", "k3": "school"} {
		team, ok := m.TeamOf(key)
		assert.Assert(t, ok)
		assert.Equal(t, team.Name, want)
	}
	_, ok := m.TeamOf("")
	assert.Assert(t, !ok)
	assert.Assert(t, m.HasTeams())
}

// An invalid configuration must be rejected entirely, with an error that names the field: if a part of it were applied,
// some requests would have no service to go to.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	tests := map[string]struct {
		change func(*Configuration)
		field  string
	}{
		"no timeout":      {func(c *Configuration) { c.Routes[0].Timeout = 0 }, "timeout of route r"},
		"no service":      {func(c *Configuration) { c.Routes[0].Parts = nil }, "service of route r"},
		"unknown service": {func(c *Configuration) { c.Routes[0].Parts[0].Service = "x" }, "service of route r"},
		"no weight":       {func(c *Configuration) { c.Routes[0].Parts[0].Weight = 0 }, "weight of route r"},
		"negative weight": {func(c *Configuration) { c.Routes[0].Parts[0].Weight = -1 }, "weight of route r"},
		"prefix":          {func(c *Configuration) { c.Routes[0].Prefix = "/a" }, "prefix of route r"},
		"team's rate":     {func(c *Configuration) { c.Teams[0].Rate = -1 }, "rate of team parish"},
		"team's name":     {func(c *Configuration) { c.Teams[0].Name = "" }, "team"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := configuration(route("r", "h", "/"))
			test.change(&c)
			_, err := New(c)
			var invalid InvalidError
			assert.Assert(t, errors.As(err, &invalid))
			assert.Equal(t, invalid.Field, test.field)
		})
	}
}
