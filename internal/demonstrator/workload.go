// Both deployments run the same workload with different services and teams: an urgent lookup, a call chain of depth
// three, a booking that must run at most once, a search of low urgency, an upload, and one team that sends far more
// than its rate.
//
// Example: in "kitakaze" the urgent lookup is GET /ice/bulletins, and surveyors are the team over its rate.

package demonstrator

import (
	"time"

	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// request is one kind of request.
type request struct {
	method  string
	service identifier.Service
	path    string
	// chain holds the services whose nested answers a complete answer contains.
	chain []string
	// maxBody is the largest body size; sizes vary at random, so that an answer to another request is detected.
	maxBody int
}

// stream is one team's load of one kind of request, sent at a constant rate.
type stream struct {
	team     identifier.Team
	request  request
	rate     float64
	deadline time.Duration
	// surgeRate is the rate during the overload; 0 keeps the rate.
	surgeRate float64
	// duplicates makes the caller send every other request twice with the same idempotency id.
	duplicates bool
}

// workload is what a deployment's callers send, and what the demo changes or overloads meanwhile.
type workload struct {
	streams []stream
	// flooding is the team that sends several times its rate, withdrawn the team whose key is withdrawn.
	flooding  identifier.Team
	withdrawn identifier.Team
	// slowService is the service that is overloaded, drained the endpoint that is drained, and stopped the VM whose
	// node is stopped.
	slowService identifier.Service
	drained     string
	stopped     string
	upload      request
	// uploader is the team whose upload passes through the node while it is stopped.
	uploader identifier.Team
}

const (
	longDeadline   = 2 * time.Second
	shortDeadline  = 500 * time.Millisecond
	smallBodyBytes = 2 << 10
)

// workloadNames are the requests, teams, endpoints and nodes of one deployment that fill the common workload.
type workloadNames struct {
	urgent, chained, booking, search, listing, upload request
	urgentTeams                                       [2]identifier.Team
	bookers, browsers, surging, flooding, withdrawn   identifier.Team
	drained, stopped                                  string
}

func workloadOf(deployment string) workload {
	n := kitakaze
	if deployment == "concordia" {
		n = concordia
	}
	return workload{
		streams: []stream{
			{team: n.urgentTeams[0], request: n.urgent, rate: 30, deadline: longDeadline},
			{team: n.urgentTeams[1], request: n.urgent, rate: 20, deadline: longDeadline},
			{team: n.bookers, request: n.booking, rate: 12, deadline: longDeadline, duplicates: true},
			{team: n.browsers, request: n.chained, rate: 40, deadline: longDeadline},
			{team: n.browsers, request: n.search, rate: 30, deadline: shortDeadline},
			{team: n.surging, request: n.search, rate: 30, surgeRate: 300, deadline: shortDeadline},
			{team: n.flooding, request: n.search, rate: 200, deadline: shortDeadline},
			{team: n.withdrawn, request: n.listing, rate: 20, deadline: longDeadline},
		},
		flooding:    n.flooding,
		withdrawn:   n.withdrawn,
		slowService: n.urgent.service,
		drained:     n.drained,
		stopped:     n.stopped,
		upload:      n.upload,
		uploader:    n.bookers,
	}
}

var kitakaze = workloadNames{
	urgent:      request{method: "GET", service: "ice", path: "/bulletins"},
	chained:     request{method: "GET", service: "bookings", path: "/mine", chain: []string{"slotBoard", "ice"}},
	booking:     request{method: "POST", service: "bookings", path: "/escorts", chain: []string{"slotBoard", "ice"}, maxBody: smallBodyBytes},
	search:      request{method: "GET", service: "slotBoard", path: "/search", chain: []string{"ice"}},
	listing:     request{method: "GET", service: "slotBoard", path: "/slots", chain: []string{"ice"}},
	upload:      request{method: "POST", service: "manifests", path: "/manifests"},
	urgentTeams: [2]identifier.Team{"captains", "harbourMasters"},
	bookers:     "captains",
	browsers:    "okhotskAgents",
	surging:     "hokkaidoAgents",
	flooding:    "surveyors",
	withdrawn:   "tankerLines",
	drained:     "slotBoard-2",
	stopped:     "manifests-1",
}

var concordia = workloadNames{
	urgent:      request{method: "GET", service: "prayerTimes", path: "/fastTimes"},
	chained:     request{method: "GET", service: "orders", path: "/mine", chain: []string{"portal", "prayerTimes"}},
	booking:     request{method: "POST", service: "orders", path: "/orders", chain: []string{"portal", "prayerTimes"}, maxBody: smallBodyBytes},
	search:      request{method: "GET", service: "portal", path: "/search", chain: []string{"prayerTimes"}},
	listing:     request{method: "GET", service: "portal", path: "/observances", chain: []string{"prayerTimes"}},
	upload:      request{method: "POST", service: "uploads", path: "/tables"},
	urgentTeams: [2]identifier.Team{"clergy", "synagogues"},
	bookers:     "communityGroups",
	browsers:    "parishes",
	surging:     "schools",
	flooding:    "printers",
	withdrawn:   "mosques",
	drained:     "portal-2",
	stopped:     "uploads-1",
}

// ruleOf returns the priority class of a request under a preset, and whether the request is idempotent.
func ruleOf(p definer.Preset, r request) (class identifier.Priority, idempotent bool) {
	for _, s := range p.Services {
		if s.Name != r.service {
			continue
		}
		for _, route := range s.Routes {
			if route.Method == r.method && isUnder(r.path, route.Prefix) {
				return route.Priority, route.Idempotent
			}
		}
	}
	return identifier.Normal, r.method == "GET"
}

func isUnder(path, prefix string) bool {
	return prefix == "/" || path == prefix || len(path) > len(prefix) && path[:len(prefix)+1] == prefix+"/"
}
