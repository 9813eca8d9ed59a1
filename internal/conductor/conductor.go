package conductor

// A node accepts requests, chooses an endpoint for each, and controls access to its local endpoint. The conductor makes
// all decisions by combining parts that do not depend on each other: matcher (routes and teams), apportioner and pooler
// (team rates), throttler (excess load of the local endpoint), rationer (shedding of root requests for overloaded services),
// detector (unreachable nodes), router (choice of an endpoint), limiter (concurrency at the local endpoint), registrar
// (announcements of the local endpoint) and exchanger (reports between nodes).
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
	"github.com/jackdawtide/jackdawtide/internal/quarantiner"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
	"github.com/jackdawtide/jackdawtide/internal/router"
	"github.com/jackdawtide/jackdawtide/internal/throttler"
)

// Bounds are the limits that the deployment's operators guarantee to their users.
type Bounds struct {
	// RevokeWithin is how long a key may still be accepted after its withdrawal.
	RevokeWithin clock.Duration
	// ApplyWithin is the time within which an accepted configuration is in force on all nodes.
	ApplyWithin clock.Duration
	// The requests for a service that reach a second endpoint are at most RetryRatio of all its requests plus
	// RetrySlack, summed over all nodes in each RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow clock.Duration
	// Rate is the tolerance by which a team's requests may exceed its rate and burst.
	Rate apportioner.Tolerance
	// Cold limits the requests that may reach a cold endpoint.
	Cold ColdBound
}

// Options configure a conductor.
type Options struct {
	Self   exchanger.Member
	Bounds Bounds
	// EndpointAddress is the address at which the local endpoint listens.
	EndpointAddress string
	// Regions maps each failure domain to its region.
	Regions map[identifier.FailureDomain]identifier.Region
	// Random is the seeded source of all random choices.
	Random *rand.Rand
}

// Conductor decides for one node; it is not safe for concurrent use.
type Conductor struct {
	options  Options
	random   *rand.Rand
	stopping bool
	// started is when the node started.
	started clock.Time
	// stopRequestedAt is when the planned stop began, stopEnd when it ends at the latest, 0 if that is not bounded.
	stopRequestedAt, stopEnd clock.Time

	matcher             *matcher.Matcher
	configurationReadAt clock.Time
	provedAt            clock.Time
	proved              bool
	// configurationFrom and provedBy are the nodes that relayed the configuration in force and its last proof, empty for the
	// store. decisions are the last ones made by the configuration in force.
	configurationFrom, provedBy identifier.Node
	decisions                   decisions
	receivedProof               receivedProof
	// ordersNext is the offset up to which this node knows the operators' orders, which are configurations and
	// evacuations.
	ordersNext identifier.Offset
	// evacuated are the failure domains whose endpoints get no requests.
	evacuated map[identifier.FailureDomain]bool

	self    exchanger.Member
	members map[identifier.Node]exchanger.Member
	// seeksMembers is set until this node knows how many others there are.
	seeksMembers bool
	// incarnationLearnedAt is when this node learned of another node's current incarnation. silenceCheckedAt is when
	// members were last checked for missing reports.
	incarnationLearnedAt map[identifier.Node]clock.Time
	silenceCheckedAt     clock.Time
	table                *exchanger.Table
	reportNumber         int64
	// lastExchangeAt is when a peer last answered an exchange of reports; exchangeFailed is set when an exchange has
	// failed since then.
	lastExchangeAt clock.Time
	exchangeFailed bool

	detector     *detector.Detector
	router       *router.Router
	apportioner  *apportioner.Apportioner
	pooler       *pooler.Pooler
	retryBudgets map[identifier.Service]*retryBudget
	// budgets count the requests and retries of each service; declining is the part of the offered calls that each
	// declining service declines, and loggedDeclining are those that the log says are declining.
	budgets         map[identifier.Service]*serviceBudget
	declining       map[identifier.Service]float64
	loggedDeclining map[identifier.Service]bool
	// retries counts the retries that the budgets and the rules of retry_budget.go granted and refused, by kind.
	retries [2]retryCounts

	plan          plan
	arrivalCounts arrivalCounts
	// recentArrivals follows changes of the arrivals faster than arrivalCounts; nodes report it to each other.
	recentArrivals arrivalCounts
	// teamArrivals has the same time constant; shares of teams are computed from it.
	teamArrivals teamArrivals
	// fleetTeams sums what other nodes report of teamArrivals.
	fleetTeams fleetTeams
	// arrivalTrends tells how the arrivals in the nodes' reports change.
	arrivalTrends map[identifier.Node]arrivalTrend
	// demandModels holds, for each overloaded service, what its measured demand says about the computed one.
	demandModels map[identifier.Service]*demandModel
	// runTimeRatios holds the ratio of the run times of root requests and nested calls at each service.
	runTimeRatios map[identifier.Service]*runTimeRatio
	// orderLevels holds the levels of costs in the order of refusals.
	orderLevels map[levelKey]int
	// arrivalsNeededUntil is the time until which nodes report their arrivals.
	arrivalsNeededUntil clock.Time
	// routeShares holds, for each configured route, the services it is split over.
	routeShares map[identifier.Route]serviceShares
	// callGraph holds the nested calls between services.
	callGraph *callGraph
	// sentOrigins are the origins of the requests that this node has sent, including nested calls.
	sentOrigins map[origin]bool
	// missingSince is the time since which a service, needed by requests, has had no endpoint.
	missingSince map[identifier.Service]clock.Time
	// parents are the requests that run at the local endpoint.
	parents map[identifier.Request]parent
	splits  map[string]*split

	registrar *registrar.Registrar
	limiter   *limiter.Limiter
	throttler *throttler.Throttler
	// queueFloor tells which part of the queue for the local endpoint stands.
	queueFloor queueFloor
	runs       runCounter
	runTimes   runTimes
	// offers counts calls offered to the local endpoint and declined by it; failedSlotTime is the time of runs that were
	// of no use.
	offers         offerCounts
	failedSlotTime clock.Duration
	// kindCounts tells what became of each kind of request, and of each level of deliveries, since it was last taken.
	kindCounts KindCounts

	// coldUntil is the time until which the local endpoint counts as cold; otherColdUntil is the same for endpoints
	// beside other nodes.
	coldUntil clock.Time
	// coldAssumed is set while coldUntil is an assumption; nextColdCheckAt is when the endpoint is next asked whether
	// it is cold.
	coldAssumed     bool
	nextColdCheckAt clock.Time
	otherColdUntil  map[identifier.Node]clock.Time

	// limit is the rate limit that the local endpoint names, otherLimits those of endpoints beside other nodes.
	limit       endpointLimit
	otherLimits map[identifier.Node]*endpointLimit
	// left are the endpoints beside other nodes that said in an answer that they are leaving.
	left map[identifier.Node]endpointStart
	// heldBack counts the deliveries turned away because of the local endpoint's rate limit.
	heldBack int64

	// quarantiner knows the requests under which endpoints ended; endsSeen counts the ends of the local endpoint.
	quarantiner *quarantiner.Quarantiner
	endsSeen    int64
	// aliveAt is when the local endpoint last answered a delivery, or accepted a connection that was opened to check it.
	aliveAt clock.Time

	calls map[CallID]*call
	// awaitingEndpoint are the requests that wait for an endpoint.
	awaitingEndpoint []CallID
	deliveries       map[CallID]*delivery
	verdicts         []limiter.Verdict
	effects          []Effect
}

// New returns a conductor that knows no configuration, no member and no endpoint.
func New(o Options, now clock.Time) *Conductor {
	return &Conductor{
		options:              o,
		random:               o.Random,
		started:              now,
		self:                 o.Self,
		members:              map[identifier.Node]exchanger.Member{},
		incarnationLearnedAt: map[identifier.Node]clock.Time{},
		table:                exchanger.NewTable(o.Self.Node, o.Self.Domain, uint64(o.Self.Incarnation)),
		router: router.New(router.Options{
			Domain:          o.Self.Domain,
			Rand:            o.Random,
			FailuresToEject: failuresToEject,
			EjectTime:       ejectTime,
			EjectMax:        maxEjectTime,
			ColdStart:       coldStart,
		}),
		apportioner:    apportioner.New(o.Self.Node, o.Bounds.Rate, now),
		detector:       detector.New(),
		pooler:         pooler.New(o.Bounds.Rate, now),
		quarantiner:    quarantiner.New(),
		retryBudgets:   map[identifier.Service]*retryBudget{},
		budgets:        map[identifier.Service]*serviceBudget{},
		splits:         map[string]*split{},
		sentOrigins:    map[origin]bool{},
		missingSince:   map[identifier.Service]clock.Time{},
		parents:        map[identifier.Request]parent{},
		registrar:      registrar.New(registrar.Options{Service: o.Self.Service, Address: o.EndpointAddress}),
		throttler:      throttler.New(now),
		arrivalCounts:  arrivalCounts{timeConstant: arrivalTimeConstant},
		recentArrivals: arrivalCounts{timeConstant: recentArrivalTimeConstant},
		arrivalTrends:  map[identifier.Node]arrivalTrend{},
		demandModels:   map[identifier.Service]*demandModel{},
		orderLevels:    map[levelKey]int{},
		runTimeRatios:  map[identifier.Service]*runTimeRatio{},
		calls:          map[CallID]*call{},
		deliveries:     map[CallID]*delivery{},
		otherColdUntil: map[identifier.Node]clock.Time{},
		otherLimits:    map[identifier.Node]*endpointLimit{},
		left:           map[identifier.Node]endpointStart{},

		loggedDeclining: map[identifier.Service]bool{},
	}
}

const (
	// failuresToEject is low because a node usually fails completely: a killed node refuses all connections at once.
	failuresToEject = 3
	// ejectTime is about the time in which a killed node is restarted.
	ejectTime = clock.Second
	// maxEjectTime bounds how long a recovered node waits for its first request.
	maxEjectTime = 4 * clock.Second
	// coldStart is the slow-start period in which an endpoint that has just joined gets fewer requests.
	coldStart = 3 * clock.Second
)

// Apply processes an event and returns the effects to perform; the slice is valid until the next call.
func (c *Conductor) Apply(e Event, now clock.Time) []Effect {
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case RequestArrived:
		c.requestArrived(e, now)
	case AttemptEnded:
		c.attemptEnded(e, now)
	case RequestRecognized:
		c.requestRecognized(e, now)
	case RequestClosed:
		c.requestClosed(e, now)
	case TokenDrawn:
		c.tokenDrawn(e, now)
	case TokenRequested:
		c.grantToken(e, now)
	case Probed:
		c.probeEnded(e, now)
	case DeliveryArrived:
		c.deliveryArrived(e, now)
	case NoticeReceived:
		c.noticeReceived(e, now)
	case DeliveryEnded:
		c.deliveryEnded(e, now)
	case DeliveryCancelled:
		c.deliveryCancelled(e, now)
	case EndpointAnnounced:
		c.endpointAnnounced(e, now)
	case EndpointRemoved:
		c.endpointRemoved(e, now)
	case EndpointUnreachable:
		c.endpointUnreachable(e, now)
	case EndpointAlive:
		c.aliveAt = now
	case EndpointEnded:
		c.endpointEnded(e, now)
	case EndReceived:
		c.quarantiner.Ended(e.End, now)
	case EndpointChecked:
		c.endpointChecked(e, now)
	case ConfigurationRead:
		c.configure(e, now)
	case ConfigurationProved:
		c.acceptProof(e)
	case ProofReceived:
		c.learnProof(e, now)
	case OrdersRead:
		c.learnOrders(e)
	case DomainsEvacuated:
		c.evacuate(e, now)
	case MembersSought:
		c.seeksMembers = true
	case MembersRead:
		c.seeksMembers = false
	case MemberLearned:
		c.learnMember(e, now)
	case ReportsReceived:
		c.takeReports(e.Reports, c.self, now)
	case PeerFailed:
		c.peerFailed(e, now)
	case PeerAnswered:
		c.peerAnswered(e, now)
	case Ticked:
		c.tick(now)
	case VMResumed:
		c.table.AddElapsed(e.After)
		c.fleetTeams.addElapsed(e.After)
	case BoundsChanged:
		c.options.Bounds = e.Bounds
	case StopRequested:
		c.stop(e.End, now)
	}
	return c.effects
}

func (c *Conductor) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// Ready reports whether this node can accept requests: it has a configuration and is not stopping.
func (c *Conductor) Ready() bool {
	return c.matcher != nil && !c.stopping
}

// Open returns how many requests and how many deliveries to the local endpoint are open.
func (c *Conductor) Open() (requests, deliveries int) {
	return len(c.calls), len(c.deliveries)
}

// Idle reports whether no request and no delivery is open.
func (c *Conductor) Idle() bool {
	return len(c.calls) == 0 && len(c.deliveries) == 0
}

// Version returns the version of the configuration in force, 0 before the first one.
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
	c.checkSilence(now)
	c.sendProbes(now)
	c.expireAssumedEndpoint(now)
	c.resumeAwaiting(now)
	c.announceStop(now)
	c.logDeclining()
	if c.limiter == nil {
		return
	}
	c.verdicts = c.limiter.Tick(now, c.verdicts[:0])
	c.applyVerdicts(now)
	c.limitCapacity(now)
	c.checkAssumedCold(now)
	c.refreshPlan(now)
	c.queueFloor.observe(c.limiter.Queued())
	c.throttler.ObserveSlots(c.limiter.InFlight(), c.limiter.Limit())
	c.throttler.Observe(c.limiter.Queued(), c.plan.excess[c.self.Service], now)
}

// announceStop publishes that this node is stopping, shortly before it stops accepting deliveries for its endpoint.
func (c *Conductor) announceStop(now clock.Time) {
	if c.stopping && !c.self.Stopping && now.Sub(c.stopRequestedAt) >= stoppingReadyTime {
		c.publish(now)
	}
}
