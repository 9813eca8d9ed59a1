// This joins the matters into one state. Every random source is seeded from the node's seed, each with a stream
// of its own, so that a change in one matter does not shift the choices of another.

package reducer

import (
	"math/rand/v2"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// RateSlots is how many claims share the teams of one failure domain; it is the same at all nodes.
const RateSlots = 4

// firstOffset is the offset of the first record that the platform's log ever had.
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
		Self:    o.Self,
		Domain:  o.Domain,
		Names:   claimNames(o.Domain),
		Rand:    o.stream(streamClaimer),
		Instant: isIDClaim,
	})
	s.granter = granter.New(granter.Options{Self: o.Self, Domain: o.Domain, Slots: RateSlots, Authority: s.claimer})
	s.asker = deduplicator.NewAsker(deduplicator.AskerOptions{Node: o.Self})
	s.owner = deduplicator.NewOwner(deduplicator.OwnerOptions{})
	return s
}

func (o Options) stream(n uint64) *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, n))
}

// claimNames are the claims that nodes of the domain may hold: its own rate slots, the ids without a home, and the
// ids whose home it is.
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

// isIDClaim tells the claims of ids' owners. An owner gives nothing away that is used after its authority: a later one
// takes whatever was allowed before for unknown, or has its record.
func isIDClaim(n claimer.Name) bool { return strings.HasPrefix(string(n), idClaimPrefix) }
