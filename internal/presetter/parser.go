package presetter

// Parse returns a preset or faults, never both, so that no part of an invalid file can reach the log. Besides types and
// units it checks consistency: it refuses shares whose sum exceeds 100%, routes of services that the preset does not
// define, routes that an earlier one shadows, and names that are given twice.
//
// Example: [[team]] name = "agents" rate = "200/s" burst = 400

import (
	"net/http"
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/checker"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Bounds of a preset.
const (
	maxPerMille       = 1000
	maxRetryAllowance = 100
	maxWeight         = 1000
	minTimeout        = 10 * clock.Millisecond
	maxTimeout        = 2 * clock.Hour
	anyMethod         = "*"
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions, anyMethod,
}

// Parse returns the preset in a TOML file, or all of its faults.
func Parse(data []byte) (definer.Preset, error) {
	t, err := checker.Parse(data)
	if err != nil {
		return definer.Preset{}, err
	}
	p := definer.Preset{
		Name:           identifier.Preset(t.Name("name")),
		RetryAllowance: uint8(t.Integer("retryAllowance", 0, maxRetryAllowance)),
		Domains:        readDomains(t),
		Services:       readServices(t),
	}
	readRoutes(t, p.Services)
	p.Teams = readTeams(t, largestShare(p.Domains))
	if err := t.Finish(); err != nil {
		return definer.Preset{}, err
	}
	return p, nil
}

func readDomains(t *checker.Table) []definer.DomainShare {
	var domains []definer.DomainShare
	names := names{}
	sum := 0
	for _, d := range t.Tables("domain") {
		domain := definer.DomainShare{
			Domain:   identifier.FailureDomain(names.readUnique(d)),
			PerMille: readShare(d, "share"),
		}
		before := sum
		sum += domain.PerMille
		if sum > maxPerMille && before <= maxPerMille {
			d.Faultf("share", "the shares so far sum to %s, over the whole", formatShare(sum))
		}
		domains = append(domains, domain)
	}
	if len(domains) == 0 && !t.Has("domain") {
		t.Fault("domain", "required but missing: without a failure domain no team has any rate")
	}
	return domains
}

func largestShare(domains []definer.DomainShare) int {
	largest := 0
	for _, d := range domains {
		largest = max(largest, d.PerMille)
	}
	return largest
}

func readServices(t *checker.Table) []definer.Service {
	var services []definer.Service
	names := names{}
	for _, s := range t.Tables("service") {
		services = append(services, definer.Service{
			Name:    identifier.Service(names.readUnique(s)),
			Timeout: s.Duration("timeout", minTimeout, maxTimeout),
			MaxBody: s.Size("maxBody", 0, checker.MaxSize),
		})
	}
	if len(services) == 0 && !t.Has("service") {
		t.Fault("service", "required but missing: a preset without a service refuses every call")
	}
	return services
}

func readRoutes(t *checker.Table, services []definer.Service) {
	for _, r := range t.Tables("route") {
		name := identifier.Service(r.Name("service"))
		route := readRoute(r)
		i := slices.IndexFunc(services, func(s definer.Service) bool { return s.Name == name })
		if i < 0 {
			if name != "" {
				r.Fault("service", "unknown service: this preset has no [[service]] of that name")
			}
			continue
		}
		if earlier := shadowedBy(route, services[i].Routes); earlier != nil {
			r.Faultf("prefix", "never reached: the earlier route %s %s takes all its calls", earlier.Method, earlier.Prefix)
		}
		services[i].Routes = append(services[i].Routes, route)
	}
}

func readRoute(t *checker.Table) definer.Route {
	r := definer.Route{Method: t.Text("method"), Prefix: t.Text("prefix")}
	if r.Method != "" && !slices.Contains(methods, r.Method) {
		t.Faultf("method", "want one of %s", strings.Join(methods, ", "))
	}
	if r.Prefix != "" && (!strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?# ")) {
		t.Fault("prefix", `want a path such as "/bulletins"`)
	}
	r.Prefix = normalizePrefix(r.Prefix)
	r.Priority = readPriority(t)
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	r.Idempotent = t.Bool("idempotent", safe)
	return r
}

// normalizePrefix removes trailing slashes: they do not change what a prefix matches, since prefixes match whole
// segments, but would hide that two routes are the same.
func normalizePrefix(prefix string) string {
	if trimmed := strings.TrimRight(prefix, "/"); trimmed != "" || prefix == "" {
		return trimmed
	}
	return "/"
}

func readPriority(t *checker.Table) identifier.Priority {
	text := t.Text("priority")
	if text == "" {
		return identifier.Low
	}
	p, err := identifier.ParsePriority(text)
	if err != nil {
		t.Fault("priority", "unknown priority: want urgent, high, normal or low")
	}
	return p
}

// shadowedBy returns the first earlier route that matches every call that r matches, or nil; r would never apply after
// it.
func shadowedBy(r definer.Route, earlier []definer.Route) *definer.Route {
	for i, e := range earlier {
		sameMethod := e.Method == anyMethod || e.Method == r.Method
		inside := e.Prefix == "/" || r.Prefix == e.Prefix || strings.HasPrefix(r.Prefix, e.Prefix+"/")
		if sameMethod && inside {
			return &earlier[i]
		}
	}
	return nil
}

func readTeams(t *checker.Table, largest int) []definer.Team {
	var teams []definer.Team
	names := names{}
	for _, d := range t.Tables("team") {
		team := definer.Team{
			Name:   identifier.Team(names.readUnique(d)),
			Rate:   readRate(d, "rate"),
			Burst:  readBurst(d, "burst"),
			Weight: int(d.IntegerOr("weight", 1, 1, maxWeight)),
		}
		// A failure domain whose share of the burst is below one call can never hold enough tokens for a call. The
		// burst is refused if this is true of all failure domains.
		largestBurst := team.Burst * identifier.Tokens(largest) / maxPerMille
		if team.Burst > 0 && largest > 0 && largestBurst < identifier.TokensPerCall {
			d.Faultf("burst", "the largest share of a failure domain, %s, comes to less than one call", formatShare(largest))
		}
		teams = append(teams, team)
	}
	return teams
}

// names is the set of names read so far; it detects names that are given twice.
type names map[string]bool

func (n names) readUnique(t *checker.Table) string {
	name := t.Name("name")
	if name != "" && n[name] {
		t.Fault("name", "given twice")
	}
	n[name] = true
	return name
}
