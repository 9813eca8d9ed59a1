// New creates the state of each package and connects them. Each package has a random source of its own, a separate
// stream of the node's seed, so that a change in one package does not change the random choices of another.

package reducer

import (
	"math/rand/v2"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// RateSlots is the number of claims among which the teams of one failure domain are divided; it must be the same at all
// nodes.
const RateSlots = 4

// entryTarget is the time between two ticks up to which a node counts as having enough processor time.
const entryTarget = 100 * clock.Millisecond

// firstOffset is the offset of the first record in the history of the platform's log.
const firstOffset identifier.Offset = 1

// The streams of the node's random sources.
const (
	streamReducer uint64 = iota
	streamRouter
	streamGossiper
	streamClaimer
	streamConfigurer
)

// New returns the state of a node that has just started.
func New(o Options) *State {
	s := &State{
		options:             o,
		rand:                o.stream(streamReducer),
		thresholds:          admitter.NewThresholdCache(admitter.ThresholdCacheOptions{}),
		fairness:            admitter.NewFairness(admitter.FairnessOptions{}),
		entryGate:           admitter.NewGate(admitter.GateOptions{Target: entryTarget}),
		damper:              retrier.NewDamper(retrier.DamperOptions{}),
		router:              router.New(router.Options{Domain: o.Domain, Rand: o.stream(streamRouter)}),
		calls:               make(map[CallID]*call),
		deliveries:          make(map[CallID]*delivery),
		tokens:              make(map[Token]*delivery),
		backends:            make(map[identifier.Endpoint]*backend),
		interests:           make(map[identifier.Service]bool),
		waitingForEndpoints: make(map[identifier.Service][]*call),
		holds:               make(map[claimer.Name]claimHold),
		decisions:           newDecisionRing(decisionRingSize),
		logStart:            firstOffset,
	}
	s.counters.Refused = make(map[Reason]uint64)
	s.configurer = configurer.New(configurer.Options{
		Node:       o.Self,
		Rand:       o.stream(streamConfigurer),
		Decode:     o.Decode,
		First:      firstOffset,
		Retention:  o.Retention,
		MaxSilence: o.MaxSilence,
	})
	s.gossiper = gossiper.New(gossiper.Options{
		Self:  gossiper.Member{Node: o.Self, Domain: o.Domain, Address: o.Address, State: gossiper.Alive},
		Seeds: o.Seeds,
		Rand:  o.stream(streamGossiper),
	})
	s.claimer = claimer.New(claimer.Options{
		Self:         o.Self,
		Domain:       o.Domain,
		Names:        claimNames(o.Domain),
		Rand:         o.stream(streamClaimer),
		SkipsWaitOut: isIDClaim,
	})
	s.granter = granter.New(granter.Options{Self: o.Self, Domain: o.Domain, Slots: RateSlots, Authority: s.claimer})
	s.asker = deduplicator.NewAsker(deduplicator.AskerOptions{Node: o.Self})
	s.owner = deduplicator.NewOwner(deduplicator.OwnerOptions{})
	return s
}

func (o Options) stream(n uint64) *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, n))
}

// claimNames returns the claims that nodes of the domain may hold: the domain's rate slots, the idempotency ids without
// a home domain, and those whose home domain it is.
func claimNames(d identifier.FailureDomain) []claimer.Name {
	var names []claimer.Name
	for slot := range RateSlots {
		names = append(names, granter.ClaimName(d, slot))
	}
	for _, c := range deduplicator.Claims("") {
		names = append(names, claimer.Name(c))
	}
	for _, c := range deduplicator.Claims(d) {
		names = append(names, claimer.Name(c))
	}
	return names
}

// isIDClaim reports whether the claim is one over idempotency ids. A new holder of such a claim may act without waiting
// until what its predecessor granted has expired: it either has the record of an earlier permit or treats that permit's
// outcome as unknown.
func isIDClaim(n claimer.Name) bool { return strings.HasPrefix(string(n), idClaimPrefix) }
