package conductor

// A configuration is never replaced by an older one, and a key is accepted only with a recent proof that the
// configuration is the newest, so that the key has not been withdrawn.
//
// Example: version 12 proved as of 1000, RevokeWithin 5000: a keyed request at 5900 is served, one at 6100 gets 503.

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// clockMargin shortens the validity of a proof: two clocks that differ by 1 in 1000 are 5 ms apart after 5 s, and the
// check itself takes time.
const clockMargin = 50 * clock.Millisecond

func (c *Conductor) configure(e ConfigurationRead, now clock.Time) {
	if c.matcher != nil && e.Matcher.Version() <= c.matcher.Version() {
		return
	}
	c.reportInForce(e)
	// A proof of the previous version also holds for this one: keys withdrawn by then are missing here as well.
	c.matcher, c.configurationReadAt, c.configurationFrom = e.Matcher, e.At, e.From
	c.routeShares = sharesOf(e.Matcher.Configuration())
	c.runs.retain(c.routeShares)
	c.teamArrivals.keep(e.Matcher.Configuration().Teams)
	c.fleetTeams.configure(e.Matcher.Configuration().Teams)
	clear(c.sentOrigins)
	c.callGraph = nil
	clear(c.demandModels)
	clear(c.runTimeRatios)
	clear(c.orderLevels)
	for _, t := range e.Matcher.Configuration().Teams {
		c.apportioner.SetTeam(t.Name, t.Rate, t.Burst, now)
		c.pooler.SetTeam(t.Name, t.Rate, t.Burst)
	}
	for name := range c.splits {
		delete(c.splits, name)
	}
	c.limitCold(now)
	c.checkAssumedCold(now)
}

func (c *Conductor) acceptProof(e ConfigurationProved) {
	if c.matcher == nil || e.Version > c.matcher.Version() {
		return
	}
	if e.Version < c.receivedProof.newestVersion {
		// Another node has a newer version, so what was read is not the topic that holds it.
		return
	}
	if e.Version < c.matcher.Version() && e.AsOf > c.configurationReadAt {
		// The store already had the version in force here at that time, so a proof of an older version is wrong.
		return
	}
	if !c.proved || e.AsOf > c.provedAt {
		c.proved = true
		c.provedAt, c.provedBy = e.AsOf, e.From
	}
}

// keysProved reports whether the proof is recent enough to accept keys at a boot time.
func (c *Conductor) keysProved(boot clock.Time) bool {
	return c.proved && boot.Sub(c.provedAt) <= c.options.Bounds.RevokeWithin-clockMargin
}

// ConfigurationOverdue reports whether a newer configuration may have been accepted so long ago that it had to be in force here.
func (c *Conductor) ConfigurationOverdue(boot clock.Time) bool {
	within := c.options.Bounds.ApplyWithin
	if c.matcher == nil || within == 0 {
		return false
	}
	return !c.proved || boot.Sub(c.provedAt) > within-clockMargin
}

// refuseUnlessOverdue refuses a request for what the configuration in force lacks. While a newer one may have it, the caller is told
// to retry later, since callers don't retry after 404 and 401.
func (c *Conductor) refuseUnlessOverdue(e RequestArrived, status int, reason Reason) {
	if c.ConfigurationOverdue(e.Boot) {
		c.refuseByConfiguration(e, http.StatusServiceUnavailable, StaleConfiguration, c.jitter(retryAfterStaleKeys))
		return
	}
	c.refuseByConfiguration(e, status, reason, 0)
}

// ProvedAt returns the version in force and the boot time as of which it was the newest.
func (c *Conductor) ProvedAt() (identifier.Version, clock.Time, bool) {
	return c.Version(), c.provedAt, c.proved
}
