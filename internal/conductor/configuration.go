package conductor

// A configuration never goes back, and a key is served only on a proof that it has not been withdrawn.
//
// Example: version 12 proved as of 1000, Revoke 5000: a keyed request at 5900 is served, one at 6100 gets 503.

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// clockMargin is taken off the time for which a proof holds: two clocks that differ by 1 in 1000 are 5 ms apart
// after 5 s, and the check itself takes its time.
const clockMargin = 50 * clock.Millisecond

func (c *Conductor) configure(e ConfigurationRead, now clock.Time) {
	if c.matcher != nil && e.Matcher.Version() <= c.matcher.Version() {
		return
	}
	// A proof of the version before holds for this one: what was withdrawn by then is missing here as well.
	c.matcher, c.configurationReadAt = e.Matcher, e.At
	c.routeShares = sharesOf(e.Matcher.Configuration())
	c.runs.retain(c.routeShares)
	clear(c.sentOrigins)
	c.callGraph = nil
	for _, t := range e.Matcher.Configuration().Teams {
		c.apportioner.SetTeam(t.Name, t.Rate, t.Burst, now)
		c.pooler.SetTeam(t.Name, t.Rate, t.Burst)
	}
	for name := range c.splits {
		delete(c.splits, name)
	}
	c.limitCold(now)
	c.checkPresumedCold(now)
}

func (c *Conductor) acceptProof(e ConfigurationProved) {
	if c.matcher == nil || e.Version > c.matcher.Version() {
		return
	}
	if e.Version < c.matcher.Version() && e.AsOf > c.configurationReadAt {
		// The store already had the version in force here; a figure that says otherwise is wrong.
		return
	}
	if !c.proved || e.AsOf > c.provedAt {
		c.proved = true
		c.provedAt = e.AsOf
	}
}

// keysProved tells whether keys may be served at a boot time.
func (c *Conductor) keysProved(boot clock.Time) bool {
	return c.proved && boot.Sub(c.provedAt) <= c.options.Bounds.RevokeWithin-clockMargin
}

// ProvedAt returns the version in force and the boot time as of which it was the newest.
func (c *Conductor) ProvedAt() (identifier.Version, clock.Time, bool) {
	return c.Version(), c.provedAt, c.proved
}
