// docs/CAPACITY.md states what a node costs in fleets that are too large to be measured here. Its tables are
// calculated from the committed results by the formulas below, and a test compares the two, so that no figure on the
// page can differ from the measurements.
//
// Example: the row "team slices" multiplies the slope of traffic.teams by the number of teams that call at a node.

package measurer

import "math"

// deployment is one size of a fleet; calls and bookings are per node, changes and replacements for the whole fleet.
type deployment struct {
	name                                                            string
	domains, nodes, services                                        float64
	teams, keys                                                     float64
	changesPerMinute, replacementsPerMinute                         float64
	callsPerSecond, bookingsPerSecond, callingTeams, servicesCalled float64
}

// ownMembers is the number of nodes in a node's own failure domain.
func (d deployment) ownMembers() float64 {
	return math.Round(d.nodes / d.domains)
}

// endpointsCalled is the number of endpoints of the services that a node calls.
func (d deployment) endpointsCalled() float64 {
	return d.servicesCalled * d.nodes / d.services
}

// The users' letters don't state some of these values, which are assumed here and marked so on the page: teams, keys,
// today's calls, calls with an idempotency id, teams that call at one node, services called by one node.
var deployments = []deployment{
	{
		name: "Concordia", domains: 4, nodes: 18, services: 4, teams: 8, keys: 100,
		changesPerMinute: 0.1, replacementsPerMinute: 0.01,
		callsPerSecond: 100, bookingsPerSecond: 1, callingTeams: 8, servicesCalled: 2,
	},
	{
		name: "Kitakaze", domains: 3, nodes: 14, services: 4, teams: 8, keys: 100,
		changesPerMinute: 0.1, replacementsPerMinute: 0.01,
		callsPerSecond: 100, bookingsPerSecond: 1, callingTeams: 8, servicesCalled: 2,
	},
	{
		name: "target", domains: targetDomains, nodes: targetEndpoints, services: targetServices, teams: targetTeams,
		keys: targetKeys, changesPerMinute: 12_000.0 / minutesPerDay, replacementsPerMinute: 1_900.0 / minutesPerDay,
		callsPerSecond: 360, bookingsPerSecond: 4, callingTeams: 20, servicesCalled: 5,
	},
}

const (
	minutesPerDay = 24 * 60
	secondsPerDay = 60 * minutesPerDay
	// The budget of one node for control, in cores, bytes and bytes a second.
	budgetCoreRatio      = 0.011
	budgetMemoryBytes    = 64e6
	budgetBytesPerSecond = 24e3
	// pingsPerSecond is how many pings and answers to pings a node exchanges a second; each may need a new connection.
	pingsPerSecond = 4
	// connectionIdleSeconds is how long an idle connection is kept.
	connectionIdleSeconds = 30
	// idWindowSeconds is how long an idempotency id is stored; idSlots is the number of claims among which the ids of one
	// home are divided. An id's home is the failure domain that it names, if any.
	idWindowSeconds = 600
	idSlots         = 32
	// memoryPerHeap is the ratio of memory to live heap with the garbage collector's default setting.
	memoryPerHeap = 2
	// The sizes of the fleets in which slopes were measured: nodes a domain in the series "domains" and "churn", and teams
	// in the series "holders". The formulas scale these slopes from the measured size to that of the deployment.
	fittedDomainNodes, fittedChurnNodes, fittedTeams = 8, 20, 4
)

// usage is the cost of one row for a node.
type usage struct {
	// state is in bytes; messages and bytes are a second, on the wire; core is a share of one processor core.
	state, messages, bytes, core float64
}

func (u usage) plus(v usage) usage {
	return usage{u.state + v.state, u.messages + v.messages, u.bytes + v.bytes, u.core + v.core}
}

// row is the cost of one mechanism for nodes in one role. formula is the text on the page, where own, followed, links
// and dials stand for ownMembers, endpointsCalled, openConnections and dialsPerSecond. memory.links and cpu.dials were
// measured for both ends of a connection and are halved.
type row struct {
	role, mechanism, formula string
	cost                     func(m model) usage
}

// model gives the rows access to the fits and the size of the deployment.
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

// traffic converts messages and encoded bytes a second to bytes on the wire and processor time. The processor time of
// cpu.message is that of both ends of a connection, so each node has half of it.
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

// openConnections is how many connections a node has open: those used by pings of the last half minute, and those to the
// endpoints that it calls.
func (m model) openConnections() float64 {
	return m.ownMembers()*(1-math.Exp(-pingsPerSecond*connectionIdleSeconds/m.ownMembers())) + math.Min(m.endpointsCalled(), m.callsPerSecond)
}

// dialsPerSecond is how many connections a second a node opens or accepts. Pings go to random peers; the exponential
// is the probability that there was no ping with this peer within connectionIdleSeconds.
func (m model) dialsPerSecond() float64 {
	return pingsPerSecond * math.Exp(-pingsPerSecond*connectionIdleSeconds/m.ownMembers())
}

const (
	everyNode  = "every node"
	relayNode  = "relay, 3 a domain"
	bankHolder = "bank holder, up to 4 a domain"
	idOwner    = "owner of ids, up to 32 a home"
)

var rows = []row{
	{everyNode, "process with nothing to do", "memory.ownMembers at 0", func(m model) usage {
		return usage{state: m.at("memory.ownMembers", 0)}
	}},
	{everyNode, "members of the own domain", "memory.ownMembers × own", func(m model) usage {
		return usage{state: m.slope("memory.ownMembers") * m.ownMembers()}
	}},
	{everyNode, "endpoints of services called", "memory.followed × followed", func(m model) usage {
		return usage{state: m.slope("memory.followed") * m.endpointsCalled()}
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
		return usage{core: m.slope("cpu.nodes") / 1e9 * math.Max(m.ownMembers()-fittedDomainNodes, 0)}
	}},
	{everyNode, "changes", "traffic.changes × changes", func(m model) usage {
		return m.traffic(m.slope("traffic.changes.messages")*m.changesPerMinute, m.slope("traffic.changes.bytes")*m.changesPerMinute)
	}},
	{everyNode, "replacements", "traffic.churn × churn × ln(own) / ln 20", func(m model) usage {
		n := m.replacementsPerMinute * math.Log(math.Max(m.ownMembers(), 2)) / math.Log(fittedChurnNodes)
		return m.traffic(m.slope("traffic.churn.messages")*n, m.slope("traffic.churn.bytes")*n)
	}},
	{everyNode, "connections", "memory.links ÷ 2, wire.links × links", func(m model) usage {
		return usage{state: m.slope("memory.links") / 2 * m.openConnections(), bytes: m.slope("wire.links") * m.openConnections()}
	}},
	{everyNode, "handshakes for pings", "(wire.dials, cpu.dials ÷ 2) × dials", func(m model) usage {
		return usage{bytes: m.slope("wire.dials") * m.dialsPerSecond(), core: m.slope("cpu.dials") / 2 / 1e9 * m.dialsPerSecond()}
	}},
	{everyNode, "team slices", "traffic.teams × teams calling", func(m model) usage {
		return m.traffic(m.slope("traffic.teams.messages")*m.callingTeams, m.slope("traffic.teams.bytes")*m.callingTeams)
	}},
	{everyNode, "idempotency ids, asking", "traffic.bookings × bookings", func(m model) usage {
		return m.traffic(m.slope("traffic.bookings.messages")*m.bookingsPerSecond, m.slope("traffic.bookings.bytes")*m.bookingsPerSecond)
	}},
	{relayNode, "members of other domains", "memory.remoteMembers × (nodes − own)", func(m model) usage {
		return usage{state: m.slope("memory.remoteMembers") * (m.nodes - m.ownMembers())}
	}},
	{relayNode, "probes between domains", "traffic.domains busiest − mean", func(m model) usage {
		return m.traffic(
			m.at("traffic.domains.busiestMessages", m.domains)-m.at("traffic.domains.messages", m.domains),
			m.at("traffic.domains.busiest", m.domains)-m.at("traffic.domains.bytes", m.domains))
	}},
	{relayNode, "subscriptions", "traffic.nodes.busiest × (own − 8)", func(m model) usage {
		more := math.Max(m.ownMembers()-fittedDomainNodes, 0)
		// Every node sends a request to two of its domain's three relays every 3 s, and they answer: 4 messages in 3 s,
		// divided among three relays.
		return m.traffic(4*more/9, m.slope("traffic.nodes.busiest")*more)
	}},
	{bankHolder, "banks", "memory.banks × teams ÷ 4", func(m model) usage {
		return usage{state: m.slope("memory.banks") * m.teams / 4}
	}},
	{bankHolder, "asks for slices", "traffic.holders busiest × own × teams calling ÷ 4", func(m model) usage {
		n := m.ownMembers() * m.callingTeams / fittedTeams
		return m.traffic(m.slope("traffic.holders.busiestMessages")*n, m.slope("traffic.holders.busiest")*n)
	}},
	{idOwner, "records", "memory.ids × bookings × own × 600 s ÷ 32", func(m model) usage {
		return usage{state: m.slope("memory.ids") * m.bookingsPerSecond * m.ownMembers() * idWindowSeconds / idSlots}
	}},
	{idOwner, "answers", "traffic.bookings × bookings × own ÷ 32", func(m model) usage {
		n := m.bookingsPerSecond * m.ownMembers() / idSlots
		return m.traffic(m.slope("traffic.bookings.messages")*n, m.slope("traffic.bookings.bytes")*n)
	}},
}

// appendCause is one cause of appends to the log; daily is their number a day in the whole fleet.
type appendCause struct {
	cause, formula string
	daily          func(d deployment) float64
}

const (
	// claimRenewalsPerDay is how many times a day each claim is renewed: ten times in each term of an hour.
	claimRenewalsPerDay = 10 * 24
	// claimsPerDomain is the number of claims of one domain: its rate slots and the id slots with this home.
	claimsPerDomain = 4 + idSlots
	// snapshotsPerDay is two, as a snapshot is taken after each half of the log's retention, which is a day.
	snapshotsPerDay = 2
)

// claims is the number of claims of the fleet: those of its domains, and those over idempotency ids without a home.
func claims(d deployment) float64 {
	return d.domains*claimsPerDomain + idSlots
}

var appendCauses = []appendCause{
	{"changes by operators", "changes", func(d deployment) float64 { return d.changesPerMinute * minutesPerDay }},
	{"nodes that start", "replacements", func(d deployment) float64 { return d.replacementsPerMinute * minutesPerDay }},
	{"nodes that leave in order", "replacements, at most", func(d deployment) float64 { return d.replacementsPerMinute * minutesPerDay }},
	{"claims renewed", "240 × (36 × domains + 32)", func(d deployment) float64 { return claims(d) * claimRenewalsPerDay }},
	{"claims taken over or renewed with a new witness", "2 × replacements × claims ÷ nodes", func(d deployment) float64 {
		return 2 * d.replacementsPerMinute * minutesPerDay * claims(d) / d.nodes
	}},
	{"snapshots", "2, doubled ones ignored", func(deployment) float64 { return snapshotsPerDay }},
}
