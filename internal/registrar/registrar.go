package registrar

// Heartbeats arrive late, twice and out of order; an endpoint may start again under the id that it had, and a late
// heartbeat of a process that has ended may name the address of its successor. Taken at face value each of these
// would send requests to an endpoint that is leaving or gone, and callers would see them fail.
//
// Example: sequence 9 says leaving, then a delayed sequence 8 says ready: the endpoint stays leaving.

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Announcement is what an endpoint says of itself.
type Announcement struct {
	Endpoint identifier.Endpoint
	Service  identifier.Service
	Address  string
	Slots    int64
	// Started is when the endpoint started, in Unix milliseconds; 0 is unknown.
	Started int64
	// Sequence grows with each announcement of one start.
	Sequence int64
	Leaving  bool
	// ColdLeft is how much longer the endpoint is slow after its start.
	ColdLeft clock.Duration
}

// Local is the endpoint beside this node as it is known now.
type Local struct {
	Announcement
	// Known is false before the first announcement and after the endpoint has gone.
	Known bool
	// Assumed tells that the endpoint is known only by what this node had recorded before it was started anew.
	Assumed bool
}

// Usable tells whether the endpoint may get requests.
func (l Local) Usable() bool {
	return l.Known && !l.Leaving
}

// ForeignError is an announcement that does not speak of the endpoint beside this node.
type ForeignError struct {
	Field string
	Value string
	Want  string
}

// Error names the field that does not fit.
func (e ForeignError) Error() string {
	return fmt.Sprintf("announcement of another endpoint: %s is %q, want %q", e.Field, e.Value, e.Want)
}

// Options name the endpoint beside this node.
type Options struct {
	Service identifier.Service
	Address string
}

// Registrar follows the local endpoint; it is not safe for concurrent use.
type Registrar struct {
	options Options
	local   Local
	removed map[identifier.Endpoint]tombstone
}

// tombstone says up to which start an endpoint is known to have gone.
type tombstone struct {
	started int64
	// startUnknown is set when the endpoint went before this node had heard of it.
	startUnknown bool
	removedAt    clock.Time
}

// unknownStartRetention is how long an endpoint that went unheard of is not believed: heartbeats are delayed by seconds,
// and the default period between them is 1.5 s.
const unknownStartRetention = 15 * clock.Second

// New returns a registrar that has heard of no endpoint.
func New(o Options) *Registrar {
	return &Registrar{options: o, removed: map[identifier.Endpoint]tombstone{}}
}

// Local returns the endpoint as it is known now.
func (r *Registrar) Local() Local {
	return r.local
}

// Announce takes an announcement; it tells whether that changed what is known.
func (r *Registrar) Announce(a Announcement, now clock.Time) (bool, error) {
	if a.Service != r.options.Service {
		return false, ForeignError{Field: "service", Value: string(a.Service), Want: string(r.options.Service)}
	}
	if a.Address != r.options.Address {
		return false, ForeignError{Field: "address", Value: a.Address, Want: r.options.Address}
	}
	if r.isRemoved(a, now) || r.isStale(a) {
		return false, nil
	}
	before := r.local
	r.local = Local{Announcement: a, Known: true}
	if before.Assumed {
		before.Started = a.Started
	}
	return !before.Known || before.Endpoint != a.Endpoint || before.Leaving != a.Leaving ||
		before.Slots != a.Slots || before.Started != a.Started, nil
}

// Assume takes the endpoint that was there when this node was last up for one that still is, unless something was heard
// since; it tells whether that changed what is known. An endpoint names itself in each request, so one that has taken its
// place turns away what was meant for it.
func (r *Registrar) Assume(id identifier.Endpoint, slots int64) bool {
	if r.local.Endpoint != "" || len(r.removed) > 0 || id == "" || slots <= 0 {
		return false
	}
	r.local = Local{
		Announcement: Announcement{Endpoint: id, Service: r.options.Service, Address: r.options.Address, Slots: slots},
		Known:        true,
		Assumed:      true,
	}
	return true
}

func (r *Registrar) isRemoved(a Announcement, now clock.Time) bool {
	t, ok := r.removed[a.Endpoint]
	if !ok {
		return false
	}
	if t.startUnknown && now.Sub(t.removedAt) >= unknownStartRetention {
		return false
	}
	if t.startUnknown && a.Started > t.started {
		// The first start heard of after the removal is taken for the one that was removed.
		if t.started == 0 {
			t.started = a.Started
			r.removed[a.Endpoint] = t
			return true
		}
		return false
	}
	return a.Started <= t.started
}

func (r *Registrar) isStale(a Announcement) bool {
	l := r.local
	if l.Assumed || !l.Known && l.Endpoint == "" {
		return false
	}
	if a.Started != l.Started {
		return a.Started < l.Started
	}
	if a.Endpoint != l.Endpoint {
		return false
	}
	return a.Sequence <= l.Sequence
}

// Remove takes an endpoint's word that it is gone; it tells whether that changed what is known.
func (r *Registrar) Remove(id identifier.Endpoint, now clock.Time) bool {
	if r.local.Endpoint != id {
		if _, ok := r.removed[id]; !ok {
			r.removed[id] = tombstone{startUnknown: true, removedAt: now}
		}
		return false
	}
	// An assumed endpoint's start is not known; taken for 0, a late heartbeat would bring it back.
	r.removed[id] = tombstone{started: r.local.Started, startUnknown: r.local.Assumed, removedAt: now}
	changed := r.local.Known
	r.local.Known = false
	return changed
}

// Suspend takes the endpoint for gone until it announces itself again, because it took no connection; it tells whether
// that changed what is known.
func (r *Registrar) Suspend(id identifier.Endpoint) bool {
	if r.local.Endpoint != id || !r.local.Known {
		return false
	}
	r.local.Known = false
	return true
}
