// State holds all state of one node. Each package that decides (admission, gossip, claims, rates and so on) keeps its
// own state; this package adds the state of the calls in progress at the node and connects the packages.
//
// Example: New(Options{Self: "a1", Domain: "alfa"}) has no configuration: it refuses every call with noPreset until it
// has read a preset.

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

// Options configures a node's State.
type Options struct {
	Self   identifier.Node
	Domain identifier.FailureDomain
	// Address is where other nodes reach this one.
	Address string
	// Seeds are addresses of nodes to join through.
	Seeds []string
	// Seed seeds all of the node's random sources, so that a run can be repeated.
	Seed uint64
	// Decode decodes the bytes of a log record.
	Decode func([]byte) (any, error)
	// MaxSilence is how long a node accepts calls without having received news of the log; zero sets no limit.
	MaxSilence clock.Duration
	// Retention is how long the log retains its records.
	Retention clock.Duration
}

// State is the complete state of a node.
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
	// entryGate sheds root calls while this node itself is late.
	entryGate *admitter.Gate

	rules      *rules
	calls      map[CallID]*call
	deliveries map[CallID]*delivery
	tokens     map[Token]*delivery
	backends   map[identifier.Endpoint]*backend
	decisions  *decisionRing
	counters   Counters
	// interests holds the services that this node has called, waitingForEndpoints the calls that wait for an endpoint of
	// their service.
	interests           map[identifier.Service]bool
	waitingForEndpoints map[identifier.Service][]*call
	holds               map[claimer.Name]claimHold
	leaving             *departure
	logStart            identifier.Offset
	lastSlowTick        clock.Time
	lastTick            clock.Time
	nextNoTokenLog      clock.Time
	// membersKnown is set once the node has found other members of its failure domain or assumes that it is the only one;
	// startedAt is the time of the first tick.
	membersKnown bool
	startedAt    clock.Time
	now          clock.Time
	wall         clock.Wall
	out          []Effect
	verdicts     []limiter.Verdict
}

// Counters counts calls and deliveries since the node's start.
type Counters struct {
	Entered    uint64
	Nested     uint64
	Forwarded  uint64
	Retried    uint64
	Delivered  uint64
	Dispatched uint64
	Refused    map[Reason]uint64
	// MaxTickGap is the longest time between two ticks.
	MaxTickGap clock.Duration
}

// Reduce applies one event to the state and appends the resulting effects to out.
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
