package registrar

// Heartbeats arrive late, twice and out of order. An endpoint may restart with the same id, and a late heartbeat of an
// ended process may carry the address of its successor. Accepted without checks, each of these would direct requests to
// an endpoint that is leaving or gone, and callers would see them fail.
//
// Example: sequence 9 announces leaving, then a delayed sequence 8 announces ready: the endpoint stays leaving.

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
)

// Announcement is what an endpoint announces about itself.
type Announcement struct {
	Endpoint identifier.Endpoint
	Service  identifier.Service
	Address  string
	Slots    int64
	// Started is when the endpoint started, in Unix milliseconds; 0 is unknown.
	Started int64
	// Sequence increases with each announcement after one start.
	Sequence int64
	Leaving  bool
	// ColdLeft is how much longer the endpoint is cold.
	ColdLeft clock.Duration
}

// Local is the current state of the endpoint beside this node.
type Local struct {
	Announcement
	// Known is false before the first announcement and after the endpoint was removed.
	Known bool
	// Assumed is true if the endpoint is known only from what this node had recorded before it was restarted.
	Assumed bool
}

// Usable returns whether the endpoint may get requests.
func (l Local) Usable() bool {
	return l.Known && !l.Leaving
}

// ForeignError is returned for an announcement that is not about the endpoint beside this node.
type ForeignError struct {
	Field string
	Value string
	Want  string
}

// Error names the field that differs.
func (e ForeignError) Error() string {
	return fmt.Sprintf("announcement of another endpoint: %s is %q, want %q", e.Field, e.Value, e.Want)
}

// BoundError reports an announcement with a figure that no endpoint has.
type BoundError struct {
	Field      string
	Value, Max int64
}

// Error names the field, its value and the bound.
func (e BoundError) Error() string {
	return fmt.Sprintf("announcement: %s is %d, want 0 to %d", e.Field, e.Value, e.Max)
}

// MaxColdLeft bounds the time for which an endpoint is cold after its start, which takes seconds.
const MaxColdLeft = clock.Hour

// Options identify the endpoint beside this node.
type Options struct {
	Service identifier.Service
	Address string
}

// Registrar tracks the local endpoint; it is not safe for concurrent use.
type Registrar struct {
	options Options
	local   Local
	removed map[identifier.Endpoint]tombstone
	// left is the last endpoint that said in an answer that it is leaving: its heartbeats may still say otherwise.
	left departure
}

// departure is an endpoint that is leaving, with the start from which it leaves; 0 is unknown.
type departure struct {
	endpoint identifier.Endpoint
	started  int64
}

// isOf returns whether an announcement is one of the leaving endpoint.
func (d departure) isOf(a Announcement) bool {
	return d.endpoint != "" && d.endpoint == a.Endpoint && (d.started == 0 || d.started == a.Started)
}

// tombstone records the last start of an endpoint that was removed.
type tombstone struct {
	started int64
	// startUnknown is true if the endpoint was removed before this node knew its start.
	startUnknown bool
	removedAt    clock.Time
}

// unknownStartRetention is how long announcements of an endpoint that was removed with an unknown start are ignored:
// heartbeats are delayed by seconds, and their default period is 1.5 s.
const unknownStartRetention = 15 * clock.Second

// New returns a registrar without an endpoint.
func New(o Options) *Registrar {
	return &Registrar{options: o, removed: map[identifier.Endpoint]tombstone{}}
}

// Local returns the current state of the endpoint.
func (r *Registrar) Local() Local {
	return r.local
}

// Check returns an error for an announcement that is not about the endpoint beside this node, or that no endpoint makes.
func (o Options) Check(a Announcement) error {
	switch {
	case a.Service != o.Service:
		return ForeignError{Field: "service", Value: string(a.Service), Want: string(o.Service)}
	case a.Address != o.Address:
		return ForeignError{Field: "address", Value: a.Address, Want: o.Address}
	case a.Slots < 0 || a.Slots > limiter.MaxSlots:
		return BoundError{Field: "slots", Value: a.Slots, Max: limiter.MaxSlots}
	case a.ColdLeft < 0 || a.ColdLeft > MaxColdLeft:
		return BoundError{Field: "cold time left in ms", Value: int64(a.ColdLeft), Max: int64(MaxColdLeft)}
	}
	return nil
}

// Announce takes an announcement and returns whether it changed the known state.
func (r *Registrar) Announce(a Announcement, now clock.Time) (bool, error) {
	if err := r.options.Check(a); err != nil {
		return false, err
	}
	if r.isRemoved(a, now) || r.isStale(a) {
		return false, nil
	}
	before := r.local
	if r.left.isOf(a) {
		a.Leaving, r.left.started = true, a.Started
	}
	r.local = Local{Announcement: a, Known: true}
	if before.Assumed && before.Started == 0 {
		before.Started = a.Started
	}
	return !before.Known || before.Endpoint != a.Endpoint || before.Leaving != a.Leaving ||
		before.Slots != a.Slots || before.Started != a.Started, nil
}

// Assume restores the endpoint that this node had recorded before its restart, unless an announcement or a removal
// arrived since, and returns whether that changed the known state. Requests name the endpoint that they are for, so an
// endpoint that has taken its place refuses them.
func (r *Registrar) Assume(id identifier.Endpoint, slots, started int64) bool {
	if r.local.Endpoint != "" || len(r.removed) > 0 || id == "" || slots <= 0 {
		return false
	}
	r.local = Local{
		Announcement: Announcement{
			Endpoint: id, Service: r.options.Service, Address: r.options.Address, Slots: slots, Started: started,
		},
		Known:   true,
		Assumed: true,
	}
	return true
}

// Leave marks the endpoint as leaving until it starts anew, because an answer of it says so, and returns whether that
// changed the known state.
func (r *Registrar) Leave(id identifier.Endpoint) bool {
	if r.local.Endpoint != id || !r.local.Usable() {
		return false
	}
	r.left = departure{endpoint: id, started: r.local.Started}
	r.local.Leaving = true
	return true
}

// HasLeft returns whether the endpoint has announced that it is leaving, in whatever way, or was removed.
func (r *Registrar) HasLeft() bool {
	t, removed := r.removed[r.local.Endpoint]
	return r.local.Leaving || removed && !r.local.Known && t.started == r.local.Started
}

// AssumeLeft restores what this node had recorded before its restart of an endpoint that had left: a heartbeat that it sent
// before may still arrive and say otherwise.
func (r *Registrar) AssumeLeft(id identifier.Endpoint, started int64, now clock.Time) {
	switch {
	case r.local.Endpoint != "":
	case started == 0:
		r.Remove(id, now)
	default:
		r.left = departure{endpoint: id, started: started}
	}
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
		// The first start announced after the removal is assumed to be the removed one.
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
	if !l.Known && l.Endpoint == "" {
		return false
	}
	if l.Assumed {
		return a.Started < l.Started
	}
	if a.Started != l.Started {
		return a.Started < l.Started
	}
	if a.Endpoint != l.Endpoint {
		return false
	}
	return a.Sequence <= l.Sequence
}

// Remove takes an endpoint's notice that it is gone, and returns whether that changed the known state.
func (r *Registrar) Remove(id identifier.Endpoint, now clock.Time) bool {
	if r.local.Endpoint != id {
		if _, ok := r.removed[id]; !ok {
			r.removed[id] = tombstone{startUnknown: true, removedAt: now}
		}
		return false
	}
	// The start of an assumed endpoint is unknown; recorded as 0, it would let a late heartbeat bring the endpoint
	// back.
	r.removed[id] = tombstone{started: r.local.Started, startUnknown: r.local.Assumed, removedAt: now}
	changed := r.local.Known
	r.local.Known = false
	return changed
}

// Suspend marks the endpoint as gone until its next announcement, because it accepted no connection, and returns
// whether that changed the known state.
func (r *Registrar) Suspend(id identifier.Endpoint) bool {
	if r.local.Endpoint != id || !r.local.Known {
		return false
	}
	r.local.Known = false
	return true
}
