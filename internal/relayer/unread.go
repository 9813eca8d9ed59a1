package relayer

// An endpoint can say in its answers what this version does not know. Such fields are forwarded unread, so the log and the
// metrics name them: otherwise nothing would show that an endpoint asks for something and no node acts on it.
//
// Example: the first answer with a field X-Mood logs "answer field not read" with this name.

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// maxUnreadNames bounds the names that are kept; an endpoint may make names up.
const maxUnreadNames = 32

// forwardedFields describe the answer itself and concern only its reader.
var forwardedFields = []string{
	"Age", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Length", "Content-Type", "Date",
	"Etag", "Expires", "Last-Modified", "Location", "Server", "Vary",
}

// unreadFields are the names of the fields in the local endpoint's answers that this node does not read.
type unreadFields struct {
	known map[string]bool
	// seen holds the names that were reported, size is how many.
	seen sync.Map
	size atomic.Int32
}

func newUnreadFields(h Headers) *unreadFields {
	u := &unreadFields{known: map[string]bool{}}
	for _, name := range forwardedFields {
		u.known[name] = true
	}
	for name := range hopByHopFields {
		u.known[name] = true
	}
	for _, name := range []string{
		h.RequestID, h.NotRun, h.Signature, h.Instance, h.ColdLeft, h.Limit, h.Leaving, h.Load,
	} {
		u.known[http.CanonicalHeaderKey(name)] = true
	}
	return u
}

// firstSeen returns whether a field is not read and has not been reported before.
func (u *unreadFields) firstSeen(name string) bool {
	if u.known[name] || strings.HasPrefix(name, fleetPrefix) {
		return false
	}
	if _, reported := u.seen.Load(name); reported || u.size.Load() >= maxUnreadNames {
		return false
	}
	_, reported := u.seen.LoadOrStore(name, true)
	if !reported {
		u.size.Add(1)
	}
	return !reported
}

// reportUnreadFields logs each field of the local endpoint's answers that this node does not read, once.
func (r *Relayer) reportUnreadFields(answer http.Header) {
	for name := range answer {
		if r.unread.firstSeen(name) {
			r.options.Recorder.UnreadField(name)
		}
	}
}
