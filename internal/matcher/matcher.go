package matcher

// Every request is matched on the hot path, so a configuration is indexed once when it arrives: routes by host with the
// longest prefix first, teams by their keys.
//
// Example: with prefixes "/a/" and "/a/b/", the path "/a/b/c" belongs to "/a/b/" and "/a/bc" to "/a/".

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Matcher looks up routes and teams in one configuration; it is immutable and safe for concurrent use.
type Matcher struct {
	configuration Configuration
	hosts         map[string][]*Route
	keys          map[string]*Team
	services      map[identifier.Service]Service
}

// InvalidError names the invalid field of a configuration that is therefore rejected.
type InvalidError struct {
	Field string
	Value string
	Want  string
}

// Error names the field, its value and what was expected.
func (e InvalidError) Error() string {
	return fmt.Sprintf("%s is %q: want %s", e.Field, e.Value, e.Want)
}

// New validates and indexes a configuration.
func New(c Configuration) (*Matcher, error) {
	if err := check(c); err != nil {
		return nil, err
	}
	m := &Matcher{
		configuration: c,
		hosts:         map[string][]*Route{},
		keys:          map[string]*Team{},
		services:      map[identifier.Service]Service{},
	}
	for _, s := range c.Services {
		m.services[s.Name] = s
	}
	for i := range c.Routes {
		r := &m.configuration.Routes[i]
		host := strings.ToLower(r.Host)
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			m.keys[key] = &m.configuration.Teams[i]
		}
	}
	return m, nil
}

func check(c Configuration) error {
	known := map[identifier.Service]bool{}
	for _, s := range c.Services {
		known[s.Name] = true
		if !(s.ColdRate >= 0) || s.ColdStart < 0 {
			return InvalidError{
				Field: "cold start of service " + string(s.Name),
				Value: fmt.Sprintf("%d ms at %v a second", s.ColdStart, s.ColdRate),
				Want:  "a duration and a rate of at least zero",
			}
		}
	}
	for _, r := range c.Routes {
		if err := checkRoute(r, known); err != nil {
			return err
		}
	}
	for _, t := range c.Teams {
		if t.Name == "" {
			return InvalidError{Field: "team", Want: "a name"}
		}
		if t.Rate < 0 || t.Burst < 0 {
			return InvalidError{Field: "rate of team " + string(t.Name), Value: fmt.Sprint(t.Rate), Want: "a rate and a burst of at least zero"}
		}
	}
	return nil
}

// CheckRegions returns an error if a route or a team is restricted to a region to which no known failure domain belongs.
func (m *Matcher) CheckRegions(known map[identifier.FailureDomain]identifier.Region) error {
	for _, r := range m.configuration.Routes {
		if err := checkRegions("regions of route "+r.Name, r.Regions, known); err != nil {
			return err
		}
	}
	for _, t := range m.configuration.Teams {
		if err := checkRegions("regions of team "+string(t.Name), t.Regions, known); err != nil {
			return err
		}
	}
	return nil
}

func checkRegions(field string, regions []identifier.Region, known map[identifier.FailureDomain]identifier.Region) error {
	knownRegions := slices.Collect(maps.Values(known))
	for _, region := range regions {
		if !slices.Contains(knownRegions, region) {
			return InvalidError{Field: field, Value: string(region), Want: "a region of this deployment"}
		}
	}
	return nil
}

func checkRoute(r Route, known map[identifier.Service]bool) error {
	field := func(name string) string { return name + " of route " + r.Name }
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return InvalidError{Field: field("prefix"), Value: r.Prefix, Want: "a slash at both ends"}
	}
	if r.Timeout <= 0 {
		return InvalidError{Field: field("timeout"), Value: fmt.Sprint(r.Timeout), Want: "more than 0 ms"}
	}
	if len(r.Parts) == 0 {
		return InvalidError{Field: field("service"), Want: "a service"}
	}
	total := 0
	for _, p := range r.Parts {
		if !known[p.Service] {
			return InvalidError{Field: field("service"), Value: string(p.Service), Want: "a service of this configuration"}
		}
		if p.Weight < 0 {
			return InvalidError{Field: field("weight"), Value: fmt.Sprint(p.Weight), Want: "a weight of at least zero"}
		}
		total += p.Weight
	}
	if total == 0 {
		return InvalidError{Field: field("weight"), Value: "0", Want: "at least one service with a weight above zero"}
	}
	return nil
}

// Version returns the version of the configuration.
func (m *Matcher) Version() identifier.Version {
	return m.configuration.Version
}

// Configuration returns the configuration that the matcher was created from.
func (m *Matcher) Configuration() Configuration {
	return m.configuration
}

// Match returns the route of the host with the longest prefix that matches the path.
func (m *Matcher) Match(host, path string) (*Route, bool) {
	for _, r := range m.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName normalizes a host: it removes the port and converts to lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// TeamOf returns the team that holds the key.
func (m *Matcher) TeamOf(key string) (*Team, bool) {
	t, ok := m.keys[key]
	return t, ok
}

// Service returns the service of that name, or a zero Service if the configuration has none.
func (m *Matcher) Service(name identifier.Service) Service {
	return m.services[name]
}

// HasTeams reports whether the configuration has teams; without any, callers need no key.
func (m *Matcher) HasTeams() bool {
	return len(m.configuration.Teams) > 0
}
