// rules is the preset in force, indexed for lookups: it is read several times for each call and changes rarely.
//
// Example: rules.service("ice").match("GET", "/bulletins/aniva") finds the route with prefix "/bulletins".

package reducer

import (
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// defaultTimeout limits a call to a service for which the preset sets no timeout.
const defaultTimeout = 10 * clock.Second

type rules struct {
	preset   *definer.Preset
	version  identifier.Version
	services map[identifier.Service]*serviceRules
	teams    map[identifier.Team]bool
}

type serviceRules struct {
	timeout clock.Duration
	maxBody int64
	routes  []definer.Route
}

type matchedRoute struct {
	route      admitter.Route
	priority   identifier.Priority
	idempotent bool
}

func newRules(p *definer.Preset, v identifier.Version) *rules {
	r := &rules{
		preset:   p,
		version:  v,
		services: make(map[identifier.Service]*serviceRules, len(p.Services)),
		teams:    make(map[identifier.Team]bool, len(p.Teams)),
	}
	for _, t := range p.Teams {
		r.teams[t.Name] = true
	}
	for i := range p.Services {
		d := &p.Services[i]
		timeout := d.Timeout
		if timeout == 0 {
			timeout = defaultTimeout
		}
		r.services[d.Name] = &serviceRules{timeout: timeout, maxBody: d.MaxBody, routes: d.Routes}
	}
	return r
}

// match returns the first matching route. A call that matches no route has normal priority, and is idempotent only if
// its method is safe in HTTP.
func (r *serviceRules) match(method, path string) matchedRoute {
	for i := range r.routes {
		d := &r.routes[i]
		if d.Method != "*" && d.Method != method {
			continue
		}
		if !underPrefix(path, d.Prefix) {
			continue
		}
		return matchedRoute{route: admitter.Route(i + 1), priority: d.Priority, idempotent: d.Idempotent}
	}
	return matchedRoute{
		route:      admitter.Route(len(r.routes) + 1),
		priority:   identifier.Normal,
		idempotent: method == "GET" || method == "HEAD" || method == "OPTIONS",
	}
}

func underPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}
