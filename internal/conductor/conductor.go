package conductor

// One node takes requests in, chooses endpoints for them, and guards the endpoint beside it. All of its decisions are
// made here, by small parts that know nothing of each other: matcher (routes and teams), apportioner and pooler (rates),
// throttler (root requests against pressed services), detector (nodes that can't be reached), router (choice of an
// endpoint), limiter (the local endpoint), registrar (what it announces) and exchanger (what nodes tell each other).
//
// Example: c := New(o, now); effects := c.Apply(event, now)

import (
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/detector"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/pooler"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
	"github.com/jackdawtide/jackdawtide/internal/router"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// Bounds are the figures that the deployment's operators promise their users.
type Bounds struct {
	// Revoke is how long after its withdrawal a key may still be served.
	Revoke clock.Duration
	// InForce is how long after it was accepted a configuration is in force everywhere.
	InForce clock.Duration
	// RepeatRatio of the requests for a service may arrive at a second endpoint, and RepeatSlack more, over
	// RepeatWindow and all nodes.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow clock.Duration
	// Rate is by how much a team's requests may exceed its rate and burst.
	Rate apportioner.Tolerance
	// Cold is how many requests may reach a cold endpoint.
	Cold ColdBound
}

// Options set a conductor up.
type Options struct {
	Self   exchanger.Member
	Bounds Bounds
	// EndpointAddress is where the local endpoint listens.
	EndpointAddress string
	// Regions are those of the failure domains.
	Regions map[identifier.FailureDomain]identifier.Region
	// Random is the seeded source of all choices.
	Random *rand.Rand
}

// Conductor decides for one node; it is not safe for concurrent use.
type Conductor struct {
	options  Options
	random   *rand.Rand
	stopping bool
	// started is when the node started.
	started clock.Time
	// stopAsked is when the planned stop began.
	stopAsked clock.Time

	matcher  *matcher.Matcher
	readAt   clock.Time
	provedAt clock.Time
	proved   bool
	proofs   proofs
	// ordersNext is up to which offset the operators' orders are known.
	ordersNext identifier.Offset
	// evacuated are the failure domains whose endpoints get nothing.
	evacuated map[identifier.FailureDomain]bool

	self    exchanger.Member
	members map[identifier.Node]exchanger.Member
	// learned is when a node's present incarnation became known here, judged when silence was last judged.
	learned  map[identifier.Node]clock.Time
	judged   clock.Time
	table    *exchanger.Table
	reported int64
	// answered is when another node last answered an exchange of reports; unanswered tells that one has failed since.
	answered   clock.Time
	unanswered bool

	detector    *detector.Detector
	router      *router.Router
	apportioner *apportioner.Apportioner
	pooler      *pooler.Pooler
	repeats     map[identifier.Service]*repeatBudget
	plan        plan
	arrivals    arrivals
	// shares are the services of each route of the configuration.
	shares map[identifier.Route]share
	// graph is who calls whom.
	graph *graph
	// sent are the origins of what this node has sent, nested calls included.
	sent map[origin]bool
	// missed is since when services that requests lead to have been without an endpoint.
	missed map[identifier.Service]clock.Time
	// parents are the requests that run at the local endpoint.
	parents map[identifier.Request]parent
	splits  map[string]*split

	registrar *registrar.Registrar
	limiter   *limiter.Limiter
	throttler *throttler.Throttler
	runs      runCounter
	runTimes  runTimes

	// coldUntil is until when the local endpoint counts as cold, othersCold the same of the endpoints beside other nodes.
	coldUntil clock.Time
	// coldPresumed tells that coldUntil is a guess, and checkAt when the endpoint is asked next.
	coldPresumed bool
	checkAt      clock.Time
	othersCold   map[identifier.Node]clock.Time

	calls map[CallID]*call
	// awaiting are requests that wait for an endpoint.
	awaiting   []CallID
	deliveries map[CallID]*delivery
	verdicts   []limiter.Verdict
	effects    []Effect
}

// New returns a conductor that knows no configuration, no member and no endpoint.
func New(o Options, now clock.Time) *Conductor {
	return &Conductor{
		options: o,
		random:  o.Random,
		started: now,
		self:    o.Self,
		members: map[identifier.Node]exchanger.Member{},
		learned: map[identifier.Node]clock.Time{},
		table:   exchanger.NewTable(o.Self.Node, o.Self.Domain, uint64(o.Self.Incarnation)),
		router: router.New(router.Options{
			Domain:          o.Self.Domain,
			Rand:            o.Random,
			FailuresToEject: failuresToEject,
			EjectTime:       ejectTime,
			EjectMax:        ejectMax,
			ColdStart:       coldStart,
		}),
		apportioner: apportioner.New(o.Self.Node, o.Bounds.Rate, now),
		detector:    detector.New(),
		pooler:      pooler.New(o.Bounds.Rate, now),
		repeats:     map[identifier.Service]*repeatBudget{},
		splits:      map[string]*split{},
		sent:        map[origin]bool{},
		missed:      map[identifier.Service]clock.Time{},
		parents:     map[identifier.Request]parent{},
		registrar:   registrar.New(registrar.Options{Service: o.Self.Service, Address: o.EndpointAddress}),
		throttler:   throttler.New(now),
		calls:       map[CallID]*call{},
		deliveries:  map[CallID]*delivery{},
		othersCold:  map[identifier.Node]clock.Time{},
	}
}

const (
	// failuresToEject is low because nodes fail whole: a killed one refuses all connections at once.
	failuresToEject = 3
	// ejectTime is the time in which a killed node is started again.
	ejectTime = clock.Second
	// ejectMax bounds how long a node that came back waits for its first request.
	ejectMax = 4 * clock.Second
	// coldStart is how long an endpoint that has just joined is trusted with fewer requests.
	coldStart = 3 * clock.Second
)

// Apply takes an event in and returns what is to be done; the slice is valid until the next call.
func (c *Conductor) Apply(e Event, now clock.Time) []Effect {
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case RequestArrived:
		c.arrive(e, now)
	case AttemptEnded:
		c.attemptEnded(e, now)
	case RequestClosed:
		c.close(e.ID)
	case TokenDrawn:
		c.tokenDrawn(e, now)
	case TokenAsked:
		c.grantToken(e, now)
	case Probed:
		c.probeEnded(e, now)
	case DeliveryArrived:
		c.deliver(e, now)
	case DeliveryEnded:
		c.deliveryEnded(e, now)
	case DeliveryCancelled:
		c.deliveryCancelled(e, now)
	case EndpointAnnounced:
		c.announced(e, now)
	case EndpointRemoved:
		c.removed(e, now)
	case EndpointUnreachable:
		c.unreachable(e, now)
	case EndpointChecked:
		c.endpointChecked(e, now)
	case ConfigurationRead:
		c.configure(e, now)
	case ConfigurationProved:
		c.acceptProof(e)
	case ProofHeard:
		c.hearProof(e, now)
	case OrdersRead:
		c.ordersNext = max(c.ordersNext, e.Next)
	case DomainsEvacuated:
		c.evacuate(e, now)
	case MemberLearned:
		c.learnMember(e, now)
	case ReportsHeard:
		c.takeReports(e.Reports, c.self, now)
	case PeerFailed:
		c.peerFailed(e, now)
	case PeerAnswered:
		c.peerAnswered(e, now)
	case Ticked:
		c.tick(now)
	case Woken:
		c.table.AddElapsed(e.After)
	case BoundsChanged:
		c.options.Bounds = e.Bounds
	case StopAsked:
		c.stop(now)
	}
	return c.effects
}

func (c *Conductor) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// Ready tells whether this node can take requests: it knows a configuration and is not stopping.
func (c *Conductor) Ready() bool {
	return c.matcher != nil && !c.stopping
}

// Idle tells whether no request and no delivery is open.
func (c *Conductor) Idle() bool {
	return len(c.calls) == 0 && len(c.deliveries) == 0
}

// Version returns the version in force, 0 before the first one.
func (c *Conductor) Version() identifier.Version {
	if c.matcher == nil {
		return 0
	}
	return c.matcher.Version()
}

// Matcher returns the configuration in force, nil before the first one.
func (c *Conductor) Matcher() *matcher.Matcher {
	return c.matcher
}

func (c *Conductor) tick(now clock.Time) {
	c.apportioner.Tick(now)
	c.judgeSilence(now)
	c.probe(now)
	c.expireAssumed(now)
	c.resume(now)
	c.announceStop(now)
	if c.limiter == nil {
		return
	}
	c.verdicts = c.limiter.Tick(now, c.verdicts[:0])
	c.settle(now)
	c.warm(now)
	c.checkPresumed(now)
	c.refreshPlan(now)
	c.throttler.Observe(c.limiter.Queued(), c.plan.excess[c.self.Service], now)
}

func (c *Conductor) stop(now clock.Time) {
	if c.stopping {
		return
	}
	c.stopping, c.stopAsked = true, now
}

// announceStop tells the others that this node stops, when it will soon take no more for its endpoint.
func (c *Conductor) announceStop(now clock.Time) {
	if c.stopping && c.self.State == exchanger.Ready && now.Sub(c.stopAsked) >= stillServing {
		c.publish(now)
	}
}
