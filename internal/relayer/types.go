package relayer

// The names of the header fields that callers and endpoints use are defined by the platform and are passed in. The
// fields between nodes are defined here; they are removed from every request and answer that enters or leaves the fleet.
//
// Example: setMilliseconds(h, "Jackdaw-Wait", 80) writes Jackdaw-Wait: 80, which milliseconds reads as 80 ms.

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
	// Key is the field with the caller's key, which follows the prefix KeyScheme.
	Key       string
	KeyScheme string
	Team      string
	// Origin is the field with the service of the node that received the request from its caller.
	Origin string
	// Target is the field with the id of the only endpoint that may run the request.
	Target    string
	NotRun    string
	Signature string
	// Parent returns the id of the request that made the nested request with the given id, empty if the id does not show it.
	Parent func(id string) string
	// Instance and ColdLeft are the fields of a health answer with the endpoint's id and the remaining milliseconds for
	// which it is cold.
	Instance string
	ColdLeft string
	// Limit is the field with the rate limit that an endpoint names, Leaving the one that says that it is leaving.
	Limit   string
	Leaving string
	// Load is the field with the load that an endpoint reports; it is of use only to the node beside it.
	Load string
}

// Header fields between nodes.
const (
	fleetPrefix  = "Jackdaw-"
	callField    = fleetPrefix + "Call"
	stateField   = fleetPrefix + "State"
	outcomeField = fleetPrefix + "Outcome"
	memberField  = fleetPrefix + "Member"
	waitField    = fleetPrefix + "Wait"
	provedField  = fleetPrefix + "Proved"
	// connectionField is the local address of the connection on which the endpoint beside a node got the request, and the status
	// with which the endpoint rejected it, 0 for none.
	connectionField     = fleetPrefix + "Connection"
	teamField           = fleetPrefix + "Team"
	returnedTokensField = fleetPrefix + "Back"
	tokenField          = fleetPrefix + "Token"
	// limitField is the rate limit of the endpoint, as far as the sending node knows.
	limitField = fleetPrefix + "Limit"
)

// hopByHopFields apply to a single connection and are not forwarded.
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

// endToEndFields copies all fields but those of a single connection and those between nodes.
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

// pathOf returns a request target without its query; routes are matched against the path only.
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
