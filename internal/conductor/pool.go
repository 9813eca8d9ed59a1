package conductor

// Teams with a small rate for each node share one bucket (see pooler). The node that holds it is asked for each request,
// which takes a round trip between nodes; where it does not answer, this node's own part of the rate has to do.
//
// Example: RequestArrived gives Draw{Node: "b", Team: "parish"}, TokenDrawn with a grant gives Send.

import (
	"net/http"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/pooler"
)

func (c *Conductor) pools(team identifier.Team) bool {
	return c.pooler.Pools(team, len(c.members))
}

// holder returns the node with a team's bucket: the first in the team's order of those that report and stay. All nodes must
// find the same one, or two buckets give out the rate side by side. So it hangs only on what all hear within half a
// second by the reports: not on what this node finds out about others by itself, and not on an endpoint's leaving, which
// its own node knows first.
func (c *Conductor) holder(team identifier.Team, now clock.Time) exchanger.Member {
	best, weight := c.self, uint64(0)
	if !c.stopping {
		weight = pooler.Weight(team, c.self.Node)
	}
	for node, m := range c.members {
		if node == c.self.Node || m.State == exchanger.Stopping {
			continue
		}
		if w := pooler.Weight(team, node); w > weight && c.hears(node, now) {
			best, weight = m, w
		}
	}
	return best
}

// hears tells whether a member reports, or has only just become known.
func (c *Conductor) hears(node identifier.Node, now clock.Time) bool {
	age, heard := c.table.Age(node, now)
	if !heard {
		age = now.Sub(c.learned[node])
	}
	return age <= silentAfter
}

// draw takes a token of a pooled team; where it returns false, the request was refused or waits for TokenDrawn.
func (c *Conductor) draw(r *call, now clock.Time) bool {
	team := r.team.Name
	if wait := c.pooler.Refused(team, now); wait > 0 {
		c.overRate(r, wait)
		return false
	}
	holder := c.holder(team, now)
	if holder.Node == c.self.Node {
		return c.granted(r, c.pooler.Give(team, c.apportioner.Reach(now), now))
	}
	if c.pooler.Avoids(holder.Node, now) {
		return c.granted(r, c.pooler.Alone(team, len(c.members), now))
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

func (c *Conductor) granted(r *call, g pooler.Grant) bool {
	if !g.Allowed {
		c.overRate(r, g.Wait)
	}
	return g.Allowed
}

func (c *Conductor) overRate(r *call, wait clock.Duration) {
	c.refuse(r.id, http.StatusTooManyRequests, OverRate, c.spread(min(max(wait, retryOverRate), mostOverRate)))
}

// mostOverRate bounds the time after which a caller over its team's rate may come back: it has some seconds in all.
const mostOverRate = 2 * clock.Second

func (c *Conductor) tokenDrawn(e TokenDrawn, now clock.Time) {
	r, ok := c.calls[e.ID]
	if !ok {
		return
	}
	team := r.team.Name
	grant := e.Grant
	if e.Answered {
		c.pooler.Answered(e.Node)
		c.detector.Word(e.Node, now)
		if !grant.Allowed {
			c.pooler.Empty(team, grant.Wait, now)
		}
	} else {
		c.pooler.Failed(e.Node, now)
		c.detector.Doubt(e.Node, now)
		grant = c.pooler.Alone(team, len(c.members), now)
	}
	if !c.granted(r, grant) {
		c.close(r.id)
		return
	}
	c.attempt(r, now)
}

// give answers another node's question, also while this node stops: the others hear of that and turn to another one.
func (c *Conductor) grantToken(e TokenAsked, now clock.Time) {
	if !c.pools(e.Team) {
		c.emit(Give{ID: e.ID})
		return
	}
	c.pooler.TakeBack(e.Team, e.Back)
	c.emit(Give{ID: e.ID, Known: true, Grant: c.pooler.Give(e.Team, c.apportioner.Reach(now), now)})
}

// refundToken gives a token back for a request that has certainly not run.
func (c *Conductor) refundToken(team identifier.Team, now clock.Time) {
	switch {
	case !c.pools(team):
		c.apportioner.Return(team)
	case c.holder(team, now).Node == c.self.Node:
		c.pooler.TakeBack(team, 1)
	default:
		c.pooler.Unused(team)
	}
}
