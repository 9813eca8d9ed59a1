// An allowance bounds the retries of one request, but if every request uses it, an overloaded service still gets a
// multiple of its load. So retries to a service are limited to a small fraction of its first attempts, and a hint in
// its answers stops them at all nodes.
//
// Example: with the defaults, 100 first attempts earn 8 retries; with a hint of overload, none is allowed.

package retrier

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// DamperOptions configure a damper; zero fields take the defaults.
type DamperOptions struct {
	// PerMille is how many retries are allowed for 1000 first attempts; default 80.
	PerMille int
	// Burst is how many retries may accumulate; default 10.
	Burst int
	// HintAge is how long a hint is used; default 1 s.
	HintAge clock.Duration
}

const (
	defaultPerMille = 80
	defaultBurst    = 10
	defaultHintAge  = clock.Second
	creditPerRetry  = 1000
	refillPeriod    = clock.Second
	// minBlockingHint is the smallest hint that blocks retries; it means that a tenth of the service's calls are retries.
	minBlockingHint uint8 = 26
	// hintScale is the hint of a service all of whose calls are retries.
	hintScale float64 = 255
)

// Damper limits the ratio of retries to first attempts for each service; it is not safe for concurrent use.
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

// NewDamper returns a damper without services.
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

// SetHint stores the hint that an answer of the service carried (see Meter).
func (d *Damper) SetHint(service identifier.Service, hint uint8, now clock.Time) {
	s := d.service(service, now)
	s.hint = hint
	s.hintedAt = now
}

// Allow returns whether one retry may be sent to the service, and takes its credit if so.
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

// refill adds one retry a second while there is less than one, so that a service with few calls keeps its retries.
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
