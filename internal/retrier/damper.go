// An allowance bounds the worst case of one request, but if every request uses it, an overloaded service
// still gets a multiple of its load. So retries to a service are a small part of the first attempts to it,
// and a hint that comes back with answers turns them off everywhere at once.
//
// Example: after 100 first attempts, 10 retries are allowed; with a hint of overload, none.

package retrier

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// DamperOptions set a damper up; zero fields take the defaults.
type DamperOptions struct {
	// PerMille is how many retries are allowed for 1000 first attempts; default 80.
	PerMille int
	// Burst is how many retries may be saved up; default 10.
	Burst int
	// HintAge is how long a hint counts; default 1 s.
	HintAge clock.Duration
}

const (
	defaultPerMille         = 80
	defaultBurst            = 10
	defaultHintAge          = clock.Second
	creditPerRetry          = 1000
	refillPeriod            = clock.Second
	minBlockingHint uint8   = 26
	hintScale       float64 = 255
)

// Damper holds retries to each service down; it is not safe for concurrent use.
type Damper struct {
	options  DamperOptions
	services map[identifier.Service]*serviceCredit
}

type serviceCredit struct {
	// credit is in thousandths of a retry.
	credit   int
	refilled clock.Time
	hint     uint8
	hintedAt clock.Time
}

// NewDamper returns a damper that knows no service yet.
func NewDamper(o DamperOptions) *Damper {
	if o.PerMille <= 0 {
		o.PerMille = defaultPerMille
	}
	if o.Burst <= 0 {
		o.Burst = defaultBurst
	}
	if o.HintAge <= 0 {
		o.HintAge = defaultHintAge
	}
	return &Damper{options: o, services: make(map[identifier.Service]*serviceCredit)}
}

// CountFirst counts a first attempt.
func (d *Damper) CountFirst(service identifier.Service, now clock.Time) {
	s := d.service(service, now)
	s.credit = min(s.credit+d.options.PerMille, d.options.Burst*creditPerRetry)
}

// SetHint takes the hint over that an answer of the service carried (see Meter).
func (d *Damper) SetHint(service identifier.Service, hint uint8, now clock.Time) {
	s := d.service(service, now)
	s.hint = hint
	s.hintedAt = now
}

// Allow tells whether one retry may go to the service, and counts it.
func (d *Damper) Allow(service identifier.Service, now clock.Time) bool {
	s := d.service(service, now)
	d.refill(s, now)
	if s.hint >= minBlockingHint && now.Sub(s.hintedAt) < d.options.HintAge {
		return false
	}
	if s.credit < creditPerRetry {
		return false
	}
	s.credit -= creditPerRetry
	return true
}

// refill earns one retry a second, so that a service with little traffic keeps its retries.
func (d *Damper) refill(s *serviceCredit, now clock.Time) {
	for now.Sub(s.refilled) >= refillPeriod && s.credit < creditPerRetry {
		s.refilled = s.refilled.Add(refillPeriod)
		s.credit += creditPerRetry
	}
	if now.Sub(s.refilled) >= refillPeriod {
		s.refilled = now
	}
}

func (d *Damper) service(name identifier.Service, now clock.Time) *serviceCredit {
	s, ok := d.services[name]
	if !ok {
		s = &serviceCredit{credit: creditPerRetry, refilled: now}
		d.services[name] = s
	}
	return s
}
