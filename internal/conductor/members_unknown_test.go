package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against a node that takes itself for the only one, and admits a team's whole rate, since it can't read the member records.
func TestNodeThatKnowsNoMembersAdmitsNoLimitedTeam(t *testing.T) {
	tests := map[string]struct {
		rate  float64
		learn Event
		want  bool
	}{
		"limited team":                  {rate: 10},
		"unlimited team":                {want: true},
		"members read":                  {rate: 10, learn: MembersRead{}, want: true},
		"another node answered":         {rate: 10, learn: PeerAnswered{Node: "a"}, want: true},
		"a single record has been read": {rate: 10, learn: MemberLearned{Member: peer("b", "portal")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConductor("desk")
			c.Apply(MembersSought{}, 0)
			learnMembers(c, peer("a", "portal"))
			config := configuration(3, route("obs", "portal", matcher.Idempotent))
			config.Teams[0].Rate, config.Teams[0].Burst = test.rate, test.rate
			configure(t, c, config, 0)
			if test.learn != nil {
				c.Apply(test.learn, 0)
			}
			effect := c.Apply(arrival(1, "/obs/x"), 100)[0]
			_, sent := effect.(Send)
			assert.Equal(t, sent, test.want)
			if !test.want {
				assert.Equal(t, effect.(Refuse).Reason, MembersUnknown)
				announceEndpoint(c, 10, 1, false, 100)
				given := onlyEffect[TurnAway](t, c.Apply(DeliveryArrived{
					ID: 2, Endpoint: "i-self", RateUnchecked: identifier.Team("parish"), Deadline: 5000,
				}, 100))
				assert.Equal(t, given.Outcome, Over)
			}
		})
	}
}
