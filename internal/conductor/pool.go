package conductor

// Teams with a small rate per node share one bucket (see pooler). Each request needs a token from the node that holds
// the bucket, which takes a round trip between nodes; if the holder does not answer, this node uses its own share of the
// rate.
//
// Example: RequestArrived gives Draw{Node: "b", Team: "parish"}, TokenDrawn with a grant gives Send.

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/pooler"
)

func (c *Conductor) isPooled(team identifier.Team) bool {
	return c.pooler.Pools(team, len(c.members))
}

// holder returns the node that holds a team's bucket: the first in the team's order among the nodes that report and are
// not stopping. All nodes must choose the same holder, otherwise two buckets would grant the rate at the same time. The
// choice therefore depends only on what all nodes learn from reports within half a second: not on this node's own
// failure detection, not on an endpoint's leaving, which its own node knows first, and on a stop only once it is published.
func (c *Conductor) holder(team identifier.Team, now clock.Time) exchanger.Member {
	chosen, weight := c.self, uint64(0)
	if !c.self.Stopping {
		weight = pooler.Weight(team, c.self.Node)
	}
	for node, m := range c.members {
		if node == c.self.Node || m.Stopping || m.State == exchanger.Stopping {
			continue
		}
		if w := pooler.Weight(team, node); w > weight && c.isReporting(node, now) {
			chosen, weight = m, w
		}
	}
	return chosen
}

// isReporting reports whether a member's reports arrive, or the member has only just become known.
func (c *Conductor) isReporting(node identifier.Node, now clock.Time) bool {
	age, reported := c.table.Age(node, now)
	if !reported {
		age = now.Sub(c.incarnationLearnedAt[node])
	}
	return age <= suspectAfter
}

// draw takes a token of a pooled team; where it returns false, the request was refused or waits for TokenDrawn.
func (c *Conductor) draw(r *call, now clock.Time) bool {
	team := r.team.Name
	if wait := c.pooler.EmptyFor(team, now); wait > 0 {
		c.refuseOverRate(r, wait)
		return false
	}
	holder := c.holder(team, now)
	if holder.Node == c.self.Node {
		return c.granted(r, c.pooler.Take(team, c.apportioner.Reach(now), now))
	}
	if c.pooler.Avoids(holder.Node, now) {
		return c.granted(r, c.pooler.TakeFallback(team, len(c.members), now))
	}
	c.calls[r.id] = r
	c.emit(Draw{
		ID:      r.id,
		Node:    holder.Node,
		Address: holder.PeerAddress,
		Team:    team,
		Back:    c.pooler.TakeUnused(team),
		Crosses: holder.Domain != c.self.Domain,
	})
	return false
}

// granted reports whether a token was granted; if not, it has refused the request.
func (c *Conductor) granted(r *call, g pooler.Grant) bool {
	if !g.Allowed {
		c.refuseOverRate(r, g.Wait)
	}
	return g.Allowed
}

func (c *Conductor) refuseOverRate(r *call, wait clock.Duration) {
	c.refuseCall(r, http.StatusTooManyRequests, OverRate, c.jitter(min(max(wait, minRetryAfterOverRate), maxRetryAfterOverRate)))
}

// maxRetryAfterOverRate bounds the time after which a caller over its team's rate is told to retry; a caller waits only
// some seconds in total.
const maxRetryAfterOverRate = 2 * clock.Second

func (c *Conductor) tokenDrawn(e TokenDrawn, now clock.Time) {
	r, ok := c.calls[e.ID]
	if !ok {
		return
	}
	team := r.team.Name
	grant := e.Grant
	if e.Answered {
		c.pooler.Answered(e.Node)
		c.detector.RecordContact(e.Node, now)
		if !grant.Allowed {
			c.pooler.MarkEmpty(team, grant.Wait, now)
		}
	} else {
		c.pooler.Failed(e.Node, now)
		c.detector.Suspect(e.Node, now)
		grant = c.pooler.TakeFallback(team, len(c.members), now)
	}
	if !c.granted(r, grant) {
		c.closeCall(r.id)
		return
	}
	c.start(r, now)
}

// grantToken answers another node's request for a token. It does so also while this node stops: the other nodes learn
// of the stop and choose another holder.
func (c *Conductor) grantToken(e TokenRequested, now clock.Time) {
	if !c.isPooled(e.Team) {
		c.emit(Give{ID: e.ID})
		return
	}
	c.pooler.ReturnTokens(e.Team, e.Back)
	c.emit(Give{ID: e.ID, Known: true, Grant: c.pooler.Take(e.Team, c.apportioner.Reach(now), now)})
}

// refundToken returns the token of a request that has certainly not run.
func (c *Conductor) refundToken(team identifier.Team, now clock.Time) {
	switch {
	case !c.isPooled(team):
		c.apportioner.Return(team)
	case c.holder(team, now).Node == c.self.Node:
		c.pooler.ReturnTokens(team, 1)
	default:
		c.pooler.Unused(team)
	}
}
