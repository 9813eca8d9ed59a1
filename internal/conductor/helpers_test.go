package conductor

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// boot is the boot clock's time at which the conductor's clock is 0.
const boot = clock.Time(1_000_000)

func newConductor(service identifier.Service) *Conductor {
	return New(Options{
		Self: exchanger.Member{
			Node: "self", DeliveryAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Domain: "west", Service: service, Incarnation: 1,
		},
		Bounds: Bounds{
			RevokeWithin: 5000, ApplyWithin: 2000, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10000,
			Rate: apportioner.Tolerance{Window: 5, Part: 0.1, Requests: 20},
		},
		EndpointAddress: "10.0.0.1:80",
		Random:          rand.New(rand.NewPCG(1, 2)),
	}, 0)
}

func route(name string, service identifier.Service, kind matcher.Kind) matcher.Route {
	return matcher.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Parts: []matcher.Part{{Service: service, Weight: 1}},
		Kind: kind, Timeout: 5000, Objective: 1200, Attempts: 2,
	}
}

func configuration(version identifier.Version, routes ...matcher.Route) matcher.Configuration {
	return matcher.Configuration{
		Version:  version,
		Routes:   routes,
		Services: []matcher.Service{{Name: "portal"}, {Name: "desk"}, {Name: "clock"}},
		Teams:    []matcher.Team{{Name: "parish", Keys: []string{"k"}}},
	}
}

func configure(t *testing.T, c *Conductor, config matcher.Configuration, now clock.Time) {
	t.Helper()
	m, err := matcher.New(config)
	assert.NilError(t, err)
	c.Apply(ConfigurationRead{Matcher: m}, now)
	c.Apply(ConfigurationProved{Version: config.Version, AsOf: boot}, now)
}

func peer(node identifier.Node, service identifier.Service) exchanger.Member {
	return exchanger.Member{
		Node: node, DeliveryAddress: "10.0.0.9:1", PeerAddress: "10.0.0.9:2", Domain: "west", Service: service,
		Endpoint: identifier.Endpoint("i-" + node), Slots: 10, State: exchanger.Ready, Incarnation: 1, Sequence: 1,
	}
}

func learnMembers(c *Conductor, members ...exchanger.Member) {
	for _, m := range members {
		c.Apply(MemberLearned{Member: m}, 0)
	}
}

func announceEndpoint(c *Conductor, slots, sequence int64, leaving bool, now clock.Time) []Effect {
	return c.Apply(EndpointAnnounced{Announcement: registrar.Announcement{
		Endpoint: "i-self", Service: c.options.Self.Service, Address: "10.0.0.1:80", Slots: slots, Started: 1,
		Sequence: sequence, Leaving: leaving,
	}}, now)
}

func arrival(id CallID, path string) RequestArrived {
	return RequestArrived{ID: id, Host: "h", Path: path, Key: "k", Left: 5000, Boot: boot}
}

func onlyEffect[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	assert.Equal(t, len(effects), 1, "%+v", effects)
	e, ok := effects[0].(E)
	assert.Assert(t, ok, "%+v", effects[0])
	return e
}

// runsOf offers the conductor's endpoint a nested call every 5 ms that tells a known limit, and returns when runs began.
// Each run ends after 40 ms with an answer that says what the function returns.
func runsOf(
	c *Conductor, id identifier.Endpoint, from, until clock.Time, known Notice, says func(now clock.Time) Notice,
) (begun []clock.Time) {
	ends := map[clock.Time][]CallID{}
	take := func(effects []Effect, now clock.Time) {
		for _, e := range effects {
			if r, ok := e.(Run); ok {
				begun = append(begun, now)
				ends[now+40] = append(ends[now+40], r.ID)
			}
		}
	}
	next := CallID(from) * 1000
	for now := from; now < until; now += 5 {
		for _, call := range ends[now] {
			take(c.Apply(NoticeReceived{ID: call, Notice: says(now)}, now), now)
			take(c.Apply(DeliveryEnded{ID: call, Outcome: Answered}, now), now)
		}
		if now%25 == 0 {
			take(c.Apply(Ticked{}, now), now)
		}
		next++
		take(c.Apply(DeliveryArrived{
			ID: next, Endpoint: id, Deadline: now + 700, QueueTimeout: 233, Due: now + 300, Nested: true, Limit: known,
		}, now), now)
	}
	return begun
}

func registrarAnnouncement(m exchanger.Member) registrar.Announcement {
	return registrar.Announcement{
		Endpoint: m.Endpoint, Service: m.Service, Address: "10.0.0.1:80", Slots: int64(m.Slots), Started: 1, Sequence: 1,
	}
}
