// docs/CAPACITY.md states what a node costs at a size that nobody has here. Its tables are made from the committed
// results by the formulas below, and a test compares the two, so that no figure on the page can drift from its
// measurement.
//
// Example: the row "team slices" multiplies the slope of traffic.teams by the teams that call at a node.

package measurer

import "math"

// deployment is one size of the fleet; the rates are for each node.
type deployment struct {
	name                                  string
	domains, nodes, services              float64
	teams, keys                           float64
	changes, churn                        float64
	calls, bookings, callingTeams, called float64
}

// own is the number of nodes in one failure domain.
func (d deployment) own() float64 {
	return math.Round(d.nodes / d.domains)
}

// followed is the number of endpoints of the services that a node calls.
func (d deployment) followed() float64 {
	return d.called * d.nodes / d.services
}

// What the letters leave open is assumed: teams, keys, calls of today, calls with an idempotency id, teams calling
// at one node, services called by one node. The page says so.
var deployments = []deployment{
	{
		name: "Concordia", domains: 4, nodes: 18, services: 4, teams: 8, keys: 100, changes: 0.1, churn: 0.01,
		calls: 100, bookings: 1, callingTeams: 8, called: 2,
	},
	{
		name: "Kitakaze", domains: 3, nodes: 14, services: 4, teams: 8, keys: 100, changes: 0.1, churn: 0.01,
		calls: 100, bookings: 1, callingTeams: 8, called: 2,
	},
	{
		name: "target", domains: targetDomains, nodes: targetEndpoints, services: targetServices, teams: targetTeams,
		keys: targetKeys, changes: 12_000.0 / minutesADay, churn: 1_900.0 / minutesADay, calls: 360, bookings: 4,
		callingTeams: 20, called: 5,
	},
}

const (
	minutesADay = 24 * 60
	secondsADay = 60 * minutesADay
	// The control budget of one node.
	budgetCore   = 0.011
	budgetMemory = 64e6
	budgetBytes  = 24e3
	// pings is how many pings and answers to pings a node exchanges a second, each maybe over a new connection.
	pings = 4
	// linkLife is how long an unused connection is kept, in seconds.
	linkLife = 30
	// idWindow is how long an idempotency id is remembered, in seconds; idSlots how many claims share them.
	idWindow = 600
	idSlots  = 32
	// heapToMemory is what the collector needs beside the live heap at its default setting.
	heapToMemory = 2
	// Sizes at which the slopes were taken.
	fittedDomainNodes, fittedChurnNodes, fittedTeams = 8, 20, 4
)

// usage is what one row costs a node.
type usage struct {
	// state is in bytes, messages and bytes a second on the wire, core as a part of one.
	state, messages, bytes, core float64
}

func (u usage) plus(v usage) usage {
	return usage{u.state + v.state, u.messages + v.messages, u.bytes + v.bytes, u.core + v.core}
}

// row is one mechanism in one role.
type row struct {
	role, mechanism, formula string
	cost                     func(m model) usage
}

// model gives rows the fits and the size.
type model struct {
	deployment
	results Results
}

func (m model) slope(series string) float64 {
	return m.results.Fits[series].Slope
}

func (m model) at(series string, x float64) float64 {
	return m.results.Fits[series].At(x)
}

// traffic turns messages and their encoded bytes a second into what they cost on the wire and in processor time.
func (m model) traffic(messages, bytes float64) usage {
	if messages <= 0 {
		return usage{}
	}
	wire := m.results.Fits["wire.message"]
	cpu := m.results.Fits["cpu.message"]
	return usage{
		messages: messages,
		bytes:    messages*wire.Intercept + bytes*wire.Slope,
		core:     (messages*cpu.Intercept + bytes*cpu.Slope) / 2 / 1e9,
	}
}

// links is how many connections a node has open: those of pings of the last half minute, and to endpoints called.
func (m model) links() float64 {
	return m.own()*(1-math.Exp(-pings*linkLife/m.own())) + math.Min(m.followed(), m.calls)
}

// dials is how many connections a second a node makes or takes, as the peers of its pings are random.
func (m model) dials() float64 {
	return pings * math.Exp(-pings*linkLife/m.own())
}

const (
	everyNode = "every node"
	relayNode = "relay, 3 a domain"
	bankNode  = "bank holder, up to 4 a domain"
	ownerNode = "owner of ids, up to 32 a home"
)

var rows = []row{
	{everyNode, "process with nothing to do", "memory.ownMembers at 0", func(m model) usage {
		return usage{state: m.at("memory.ownMembers", 0)}
	}},
	{everyNode, "members of the own domain", "memory.ownMembers × own", func(m model) usage {
		return usage{state: m.slope("memory.ownMembers") * m.own()}
	}},
	{everyNode, "endpoints of services called", "memory.followed × followed", func(m model) usage {
		return usage{state: m.slope("memory.followed") * m.followed()}
	}},
	{everyNode, "preset and teams", "memory.services × services + memory.purses × teams", func(m model) usage {
		return usage{state: m.slope("memory.services")*m.services + m.slope("memory.purses")*m.teams}
	}},
	{everyNode, "keys", "memory.keys × keys", func(m model) usage {
		return usage{state: m.slope("memory.keys") * m.keys}
	}},
	{everyNode, "gossip, claims, log tail, at rest", "traffic.domains at domains", func(m model) usage {
		return m.traffic(m.at("traffic.domains.messages", m.domains), m.at("traffic.domains.bytes", m.domains))
	}},
	{everyNode, "reducers' own time", "cpu.domains at domains", func(m model) usage {
		return usage{core: m.at("cpu.domains", m.domains) / 1e9}
	}},
	{everyNode, "reducers, by members", "cpu.nodes × (own − 8)", func(m model) usage {
		return usage{core: m.slope("cpu.nodes") / 1e9 * math.Max(m.own()-fittedDomainNodes, 0)}
	}},
	{everyNode, "changes", "traffic.changes × changes", func(m model) usage {
		return m.traffic(m.slope("traffic.changes.messages")*m.changes, m.slope("traffic.changes.bytes")*m.changes)
	}},
	{everyNode, "replacements", "traffic.churn × churn × ln(own) / ln 20", func(m model) usage {
		n := m.churn * math.Log(math.Max(m.own(), 2)) / math.Log(fittedChurnNodes)
		return m.traffic(m.slope("traffic.churn.messages")*n, m.slope("traffic.churn.bytes")*n)
	}},
	{everyNode, "connections", "memory.links ÷ 2, wire.links × links", func(m model) usage {
		return usage{state: m.slope("memory.links") / 2 * m.links(), bytes: m.slope("wire.links") * m.links()}
	}},
	{everyNode, "handshakes for pings", "(wire.dials, cpu.dials ÷ 2) × dials", func(m model) usage {
		return usage{bytes: m.slope("wire.dials") * m.dials(), core: m.slope("cpu.dials") / 2 / 1e9 * m.dials()}
	}},
	{everyNode, "team slices", "traffic.teams × teams calling", func(m model) usage {
		return m.traffic(m.slope("traffic.teams.messages")*m.callingTeams, m.slope("traffic.teams.bytes")*m.callingTeams)
	}},
	{everyNode, "idempotency ids, asking", "traffic.bookings × bookings", func(m model) usage {
		return m.traffic(m.slope("traffic.bookings.messages")*m.bookings, m.slope("traffic.bookings.bytes")*m.bookings)
	}},
	{relayNode, "members of other domains", "memory.remoteMembers × (nodes − own)", func(m model) usage {
		return usage{state: m.slope("memory.remoteMembers") * (m.nodes - m.own())}
	}},
	{relayNode, "probes between domains", "traffic.domains busiest − mean", func(m model) usage {
		return m.traffic(
			m.at("traffic.domains.busiestMessages", m.domains)-m.at("traffic.domains.messages", m.domains),
			m.at("traffic.domains.busiest", m.domains)-m.at("traffic.domains.bytes", m.domains))
	}},
	{relayNode, "subscriptions", "traffic.nodes.busiest × (own − 8)", func(m model) usage {
		more := math.Max(m.own()-fittedDomainNodes, 0)
		// Two relays are asked each 3 s by every node, and answer.
		return m.traffic(4*more/9, m.slope("traffic.nodes.busiest")*more)
	}},
	{bankNode, "banks", "memory.banks × teams ÷ 4", func(m model) usage {
		return usage{state: m.slope("memory.banks") * m.teams / 4}
	}},
	{bankNode, "asks for slices", "traffic.holders busiest × own × teams calling ÷ 4", func(m model) usage {
		n := m.own() * m.callingTeams / fittedTeams
		return m.traffic(m.slope("traffic.holders.busiestMessages")*n, m.slope("traffic.holders.busiest")*n)
	}},
	{ownerNode, "records", "memory.ids × bookings × own × 600 s ÷ 32", func(m model) usage {
		return usage{state: m.slope("memory.ids") * m.bookings * m.own() * idWindow / idSlots}
	}},
	{ownerNode, "answers", "traffic.bookings × bookings × own ÷ 32", func(m model) usage {
		n := m.bookings * m.own() / idSlots
		return m.traffic(m.slope("traffic.bookings.messages")*n, m.slope("traffic.bookings.bytes")*n)
	}},
}

// appendCause is one reason for appends to the log.
type appendCause struct {
	cause, formula string
	daily          func(d deployment) float64
}

const (
	// claimRenewals is how often a day each claim is renewed: ten times in each term of an hour.
	claimRenewals = 10 * 24
	// claimsOfDomain are the rate slots and homed id slots of one domain.
	claimsOfDomain = 4 + idSlots
	// snapshotsADay is one each half of the log's retention of a day.
	snapshotsADay = 2
)

func claims(d deployment) float64 {
	return d.domains*claimsOfDomain + idSlots
}

var appendCauses = []appendCause{
	{"changes by operators", "changes", func(d deployment) float64 { return d.changes * minutesADay }},
	{"nodes that start", "replacements", func(d deployment) float64 { return d.churn * minutesADay }},
	{"nodes that leave in order", "replacements, at most", func(d deployment) float64 { return d.churn * minutesADay }},
	{"claims renewed", "240 × (36 × domains + 32)", func(d deployment) float64 { return claims(d) * claimRenewals }},
	{"claims taken over or renewed with a new witness", "2 × replacements × claims ÷ nodes", func(d deployment) float64 {
		return 2 * d.churn * minutesADay * claims(d) / d.nodes
	}},
	{"snapshots", "2, doubled ones ignored", func(deployment) float64 { return snapshotsADay }},
}
