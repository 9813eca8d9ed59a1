// Hop-by-hop header fields must not be forwarded, and callers and backend servers must not be able to forge the fields
// that nodes set.
//
// Example: of an answer with "Connection: X-Trace" and "X-Trace: 1" neither field is forwarded.

package deliverer

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

// OwnPrefix is the prefix of all header fields that nodes set themselves.
const OwnPrefix = "Jackdawtide-"

var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// EndToEnd returns the fields of h to forward; excluded lists the canonical names of further fields to leave out.
func EndToEnd(h http.Header, excluded ...string) []transporter.Field {
	named := connectionNames(h)
	fields := make([]transporter.Field, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || named[name] || strings.HasPrefix(name, OwnPrefix) || slices.Contains(excluded, name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, transporter.Field{Name: name, Value: v})
		}
	}
	return fields
}

func connectionNames(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	names := make(map[string]bool)
	for _, v := range values {
		for _, n := range strings.Split(v, ",") {
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	return names
}

func answerFields(resp *http.Response) []transporter.Field {
	return EndToEnd(resp.Header)
}
