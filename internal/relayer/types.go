package relayer

// The names of header fields belong to whoever the node speaks with, and are passed in. The fields between nodes are
// the product's own; none of them passes in or out of the fleet.
//
// Example: an inbound request with Jackdaw-Left: 800 has 800 ms left when it is sent.

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// Headers are the names of the fields that callers and endpoints use.
type Headers struct {
	RequestID string
	TimeLeft  string
	// Key is the field with the caller's key, which KeyScheme precedes.
	Key       string
	KeyScheme string
	Team      string
	// Origin is the field with the service beside the node that took the request in.
	Origin string
	// Target is the field with the id of the endpoint that is to run the request.
	Target    string
	NotRun    string
	Signature string
	// Parent returns the id of the request whose run makes the one with an id, empty where it does not tell.
	Parent func(id string) string
	// Instance and ColdLeft are the fields of a health answer with the endpoint's id and the milliseconds for which it is
	// still cold.
	Instance string
	ColdLeft string
	// Load is the field with an endpoint's own word of its load, which only the node beside it could use.
	Load string
}

// The fields between nodes.
const (
	fleetPrefix    = "Jackdaw-"
	callField    = fleetPrefix + "Call"
	stateField   = fleetPrefix + "State"
	outcomeField = fleetPrefix + "Outcome"
	memberField  = fleetPrefix + "Member"
	waitField    = fleetPrefix + "Wait"
	provedField  = fleetPrefix + "Proved"
	teamField    = fleetPrefix + "Team"
	returnedTokensField    = fleetPrefix + "Back"
	tokenField   = fleetPrefix + "Token"
)

// hopByHopFields concern one connection only.
var hopByHopFields = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// endToEndFields copies the fields that are not of one connection, and none of the fleet's own.
func endToEndFields(from http.Header) http.Header {
	connectionFields := map[string]bool{}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
			connectionFields[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	to := make(http.Header, len(from)+4)
	for name, values := range from {
		if hopByHopFields[name] || connectionFields[name] || strings.HasPrefix(name, fleetPrefix) {
			continue
		}
		to[name] = values
	}
	return to
}

// pathOf returns a request target without its query, as routes are matched by it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

func setMilliseconds(h http.Header, name string, d clock.Duration) {
	h[name] = []string{strconv.FormatInt(int64(max(0, d)), 10)}
}

func milliseconds(h http.Header, name string) (clock.Duration, bool) {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0, false
	}
	return clock.Duration(n), true
}
