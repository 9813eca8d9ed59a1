// The state of one node. Each matter keeps its own part; what stands here is only what belongs to the calls
// under way at this node, and how the parts are joined.
//
// Example: New(Options{Self: "a1", Domain: "alfa"}) knows nothing yet: it refuses every call with noPreset until
// the first preset was read.

package reducer

import (
	"math/rand/v2"

	"github.com/jackdawtide/jackdawtide/internal/admitter"
	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
	"github.com/jackdawtide/jackdawtide/internal/retrier"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// Options describe the node.
type Options struct {
	Self   identifier.Node
	Domain identifier.FailureDomain
	// Address is where other nodes reach this one.
	Address string
	// Seeds are addresses of nodes to join through.
	Seeds []string
	// Seed makes all of the node's random choices repeatable.
	Seed uint64
	// Decode reads the bytes of a log record.
	Decode func([]byte) (any, error)
	// MaxSilence is how long a node serves without any news of the log; zero is for ever.
	MaxSilence clock.Duration
	// Retention is how long the log keeps its records.
	Retention clock.Duration
}

// State is all that a node knows.
type State struct {
	options Options
	rand    *rand.Rand

	configurer *configurer.Configurer
	gossiper   *gossiper.Gossiper
	claimer    *claimer.Claimer
	granter    *granter.Granter
	asker      *deduplicator.Asker
	owner      *deduplicator.Owner

	router     *router.Router
	thresholds *admitter.ThresholdCache
	fairness   *admitter.Fairness
	damper     *retrier.Damper

	rules      *rules
	calls      map[CallID]*call
	deliveries map[CallID]*delivery
	tokens     map[Token]*delivery
	backends   map[identifier.Endpoint]*backend
	decisions  *decisionRing
	counters   Counters
	// interests are the services that this node has called, searching the calls that wait for endpoints.
	interests           map[identifier.Service]bool
	waitingForEndpoints map[identifier.Service][]*call
	holds               map[claimer.Name]claimHold
	leaving             *departure
	logStart            identifier.Offset
	lastSlowTick        clock.Time
	// membersKnown tells that the members of the own failure domain were asked for, startedAt is the first tick.
	membersKnown bool
	startedAt    clock.Time
	now          clock.Time
	wall         clock.Wall
	out          []Effect
	verdicts     []limiter.Verdict
}

// Counters count what the node did since its start.
type Counters struct {
	Entered    uint64
	Nested     uint64
	Forwarded  uint64
	Retried    uint64
	Delivered  uint64
	Dispatched uint64
	Refused    map[Reason]uint64
}

// Reduce takes one event in and appends its effects to out.
func (s *State) Reduce(event Event, now clock.Time, out []Effect) []Effect {
	s.now = now
	s.out = out
	switch e := event.(type) {
	case *CallArrived:
		s.callArrived(e)
	case *NestedArrived:
		s.nestedArrived(e)
	case *AnswerEnded:
		s.answerEnded(e)
	case *CallCancelled:
		s.callCancelled(e)
	case *DeliveryArrived:
		s.deliveryArrived(e)
	case *DeliveryEnded:
		s.deliveryEnded(e)
	case *DeliveryCancelled:
		s.deliveryCancelled(e)
	case *BackendAnnounced:
		s.backendAnnounced(e)
	case *BackendReported:
		s.backendReported(e)
	case *BackendLeaving:
		s.backendLeaving(e)
	default:
		s.reduceControl(event)
	}
	out = s.out
	s.out = nil
	return out
}

func (s *State) emit(e Effect) {
	s.out = append(s.out, e)
}
