// A root call spends from its team's rate before it uses any other resource of the fleet. If the team's slice at this
// node is used up, the call waits a few milliseconds for the next slice, since the bank, which keeps the team's token
// bucket, grants most requests.
//
// Example: Spend returns Wait → granter.Send requests a slice from the bank → Grant arrives → Resume → the call
// continues.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/granter"
)

func (s *State) spendRate(c *call) {
	d := s.granter.Spend(c.team, granter.Call(c.id), s.now)
	switch d.Verdict {
	case granter.Spent:
		c.payment = d.Paid
		s.rankAndAdmit(c)
	case granter.Wait:
		s.applyGrants(s.granter.Tick(s.now))
	case granter.Refused:
		s.refuseRateExceeded(c, d.RetryAfter)
	}
}

func (s *State) refuseRateExceeded(c *call, after clock.Duration) {
	s.refuse(c, Refusal{Reason: RateExceeded, RetryAfter: max(after, 1)})
}

func (s *State) applyGrants(effects []granter.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case granter.Send:
			s.send(e.To, "", e.Message)
		case granter.Resume:
			if c, ok := s.calls[CallID(e.Call)]; ok {
				c.payment = e.Paid
				s.rankAndAdmit(c)
			}
		case granter.Refuse:
			if c, ok := s.calls[CallID(e.Call)]; ok {
				s.refuseRateExceeded(c, e.RetryAfter)
			}
		}
	}
}
