// A root call spends from its team's rate before it uses any other resource of the fleet. If the team's slice at this
// node is used up, the call waits for the next slice, since the bank, which keeps the team's token bucket, grants most
// requests. A call is refused with RateExceeded only if a bank has answered that the rate is used up; if no bank has
// answered in time, the reason is RateUnavailable.
//
// Example: Spend returns Wait → granter.Send requests a slice from the bank → Grant arrives → Resume → the call
// continues.

package reducer

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/granter"
)

func (s *State) spendRate(c *call) {
	// A call that got its token at its deadline could not run any more.
	waitUntil := s.now.Add(c.deadline.Sub(s.now) / 2)
	d := s.granter.SpendBefore(c.team, granter.Call(c.id), waitUntil, s.now)
	switch d.Verdict {
	case granter.Spent:
		c.payment = d.Paid
		s.rankAndAdmit(c)
	case granter.Wait:
		s.applyGrants(s.granter.Tick(s.now))
	case granter.Refused:
		s.refuseWithoutToken(c, d.RetryAfter, d.Cause)
	}
}

func (s *State) refuseWithoutToken(c *call, after clock.Duration, cause granter.Cause) {
	s.logNoToken(c, cause)
	switch {
	case cause == granter.Empty:
		s.refuse(c, Refusal{Reason: RateExceeded, RetryAfter: max(after, 1)})
	case s.now >= c.deadline:
		s.refuse(c, Refusal{Reason: DeadlinePassed})
	default:
		s.refuse(c, Refusal{Reason: RateUnavailable, RetryAfter: s.randomRetryAfter()})
	}
}

// noTokenLogInterval is the least interval between two log lines about calls without tokens.
const noTokenLogInterval = clock.Second

// logNoToken logs that a call got no token although its team may have some left.
func (s *State) logNoToken(c *call, cause granter.Cause) {
	if cause == granter.Empty || s.now < s.nextNoTokenLog {
		return
	}
	s.nextNoTokenLog = s.now.Add(noTokenLogInterval)
	counters := s.granter.Counters()
	s.emit(Log{Message: "no token for a call", Fields: []any{
		"team", string(c.team), "cause", string(cause), "requests", counters.Requests, "answers", counters.Answers,
		"lateAnswers", counters.LateAnswers, "maxRoundTripMs", int64(counters.MaxRoundTrip),
	}})
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
				s.refuseWithoutToken(c, e.RetryAfter, e.Cause)
			}
		}
	}
}
