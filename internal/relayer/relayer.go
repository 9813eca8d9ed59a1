package relayer

// Each request runs in its own goroutine; the conductor processes their events one at a time. A request that the
// conductor queues waits on a channel, and the goroutine whose event frees a slot resumes it.
//
// Example: goroutine 1 waits after Hold; goroutine 2 reports DeliveryEnded, which gives Run{ID: 1}.

import (
	"context"
	"errors"
	"math"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/quarantiner"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// Options configure a relayer.
type Options struct {
	Conductor *conductor.Conductor
	Clock     *clock.Clock
	Boot      clock.Boot
	Headers   Headers
	// Service is the service of the local endpoint, EndpointAddress the address at which that endpoint listens.
	Service         identifier.Service
	EndpointAddress string
	// Connections counts all of the node's connections.
	Connections *requester.Connections
	// Publish is called with this node's member record after each change; it must not block.
	Publish func(exchanger.Member)
	// Confirm waits until the configuration in force is proved to be the newest, the store is known not to answer, or a short time
	// has passed; nil if nothing can be confirmed.
	Confirm func(context.Context)
	// ReportEnd tells the other nodes under which requests the local endpoint ended, and returns when they know, or after a
	// short time; nil if there are no others.
	ReportEnd func(quarantiner.End)
	Recorder  *recorder.Recorder
	// Memory is the pool from which room for buffered bodies is taken; nil means that there is no bound.
	Memory *reserver.Pool
}

// Relayer carries out the effects that the conductor returns; it is safe for concurrent use.
type Relayer struct {
	options Options
	mu      sync.Mutex
	waiting map[conductor.CallID]chan conductor.Effect
	// owned are the deliveries that a goroutine of this relayer queues or runs.
	owned map[conductor.CallID]struct{}
	// aborts cancel the attempts in flight.
	aborts map[conductor.CallID]context.CancelCauseFunc
	lastID atomic.Uint64
	// noticesUsed is set once the local endpoint or another node has said something about the endpoint; until then there is
	// no limit that an answer could lift.
	noticesUsed atomic.Bool
	unread      *unreadFields
	endChecks   endChecks
	// followedBytes are the bytes of long answers that are buffered for the requests behind them.
	followedBytes atomic.Int64
	peers         *requester.Client
	endpoints     *requester.Client
	stopping      atomic.Bool
}

// Stop makes every further answer close its connection. Closing idle connections from this side instead could cut off a
// request that is just arriving on one: its caller would see a request that was accepted and never answered.
func (r *Relayer) Stop() {
	r.stopping.Store(true)
}

// ErrStopped is the cause with which the contexts of requests are cancelled when their node ends.
var ErrStopped = errors.New("the node has stopped")

// endedByStop returns whether a request ends because its node does, and not because its caller has disconnected.
func endedByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrStopped)
}

// announceClose makes the answer close its connection if the node is stopping or has too many connections.
func (r *Relayer) announceClose(ctx context.Context, h http.Header) {
	if (r.stopping.Load() || r.options.Connections.Crowded()) && pipeliner.MayClose(ctx) {
		h["Connection"] = []string{"close"}
	}
}

const (
	// peerDialTimeout and endpointDialTimeout bound the opening of a connection: the first allows some round trips between
	// failure domains, the second a local endpoint with a backlog of new connections.
	peerDialTimeout     = 250 * clock.Millisecond
	endpointDialTimeout = 250 * clock.Millisecond
	// peerIdleTimeout is shorter than the time for which the receiving side keeps an idle connection (InboundIdleTimeout).
	peerIdleTimeout = 8 * clock.Second
	// InboundIdleTimeout is how long a node keeps an idle connection from another node.
	InboundIdleTimeout = 12 * clock.Second
	// endpointIdleTimeout applies if the endpoint does not announce how long it keeps an idle connection.
	endpointIdleTimeout = 3 * clock.Second
	maxIdlePerAddress   = 400
)

// New returns a relayer.
func New(o Options) *Relayer {
	if o.Memory == nil {
		o.Memory = reserver.New(math.MaxInt64)
	}
	common := requester.Options{
		MaxIdle: maxIdlePerAddress, Connections: o.Connections, Now: o.Clock.Now, BoundExceeded: o.Recorder.BoundExceeded,
	}
	peers, endpoints := common, common
	peers.DialTimeout, peers.IdleTime = peerDialTimeout, peerIdleTimeout
	endpoints.DialTimeout, endpoints.IdleTime = endpointDialTimeout, endpointIdleTimeout
	endpoints.IDField = o.Headers.RequestID
	endpoints.AnswerDropped = o.Recorder.AnswerDropped
	return &Relayer{
		options:   o,
		waiting:   map[conductor.CallID]chan conductor.Effect{},
		owned:     map[conductor.CallID]struct{}{},
		aborts:    map[conductor.CallID]context.CancelCauseFunc{},
		peers:     requester.New(peers),
		endpoints: requester.New(endpoints),
		unread:    newUnreadFields(o.Headers),
	}
}

// OutboundIdleTimeout is how long an idle connection from a caller is kept. The time announced to callers is shorter, in
// whole seconds: a request that is sent just as the connection closes would be cut off.
const (
	OutboundIdleTimeout = 9 * clock.Second
	keepAliveValue      = "timeout=6"
)

// announceIdleTimeout announces to a caller for how long its connection may stay idle.
func (r *Relayer) announceIdleTimeout(ctx context.Context, h http.Header) {
	r.announceClose(ctx, h)
	if _, closing := h["Connection"]; !closing {
		h["Keep-Alive"] = []string{keepAliveValue}
	}
}

func (r *Relayer) newID() conductor.CallID {
	return conductor.CallID(r.lastID.Add(1))
}

// ApplyEvent applies an event that does not concern a request of the calling goroutine.
func (r *Relayer) ApplyEvent(e conductor.Event) {
	_ = r.apply(0, e)
}

// View calls f with the conductor while no event is applied to it; f must not change it.
func (r *Relayer) View(f func(c *conductor.Conductor, now clock.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.options.Conductor, r.options.Clock.Now())
}

// EndpointConnections returns how many connections to the local endpoint the node has tried to open, and how often an idle
// one was not used for a request because it had carried it before.
func (r *Relayer) EndpointConnections() (opened, passedOver int64) {
	return r.endpoints.Dials(), r.endpoints.PassedOver()
}

// Expire closes connections that have been idle too long.
func (r *Relayer) Expire() {
	r.peers.Expire()
	r.endpoints.Expire()
}

// apply passes an event to the conductor and returns the effect on the call with the given id, if any.
func (r *Relayer) apply(callID conductor.CallID, e conductor.Event) conductor.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordOwner(e)
	var result conductor.Effect
	for _, effect := range r.options.Conductor.Apply(e, r.options.Clock.Now()) {
		id, isCall := callOf(effect)
		if _, turnedAway := effect.(conductor.TurnAway); turnedAway {
			delete(r.owned, id)
		}
		switch {
		case !isCall:
			r.perform(effect)
		case id == callID:
			result = effect
		default:
			r.resume(id, effect)
		}
	}
	if _, isHold := result.(conductor.Hold); isHold {
		resumed := make(chan conductor.Effect, 1)
		r.waiting[callID] = resumed
		return held{id: callID, resumed: resumed, Effect: result}
	}
	return result
}

// recordOwner records which deliveries have an owner after an event.
func (r *Relayer) recordOwner(e conductor.Event) {
	switch e := e.(type) {
	case conductor.DeliveryArrived:
		r.owned[e.ID] = struct{}{}
	case conductor.DeliveryEnded:
		delete(r.owned, e.ID)
	case conductor.DeliveryCancelled:
		delete(r.owned, e.ID)
	}
}

// Unowned returns how many deliveries take a slot or a place in the queue of the local endpoint although no goroutine runs or
// awaits them.
func (r *Relayer) Unowned() (count int) {
	r.View(func(c *conductor.Conductor, _ clock.Time) {
		for id := range c.Deliveries() {
			if _, ok := r.owned[id]; !ok {
				count++
			}
		}
	})
	return count
}

// perform carries out an effect that does not concern a call; it must not block.
func (r *Relayer) perform(effect conductor.Effect) {
	switch e := effect.(type) {
	case conductor.Publish:
		r.options.Publish(e.Member)
	case conductor.Probe:
		go r.probe(e)
	case conductor.CheckEndpoint:
		go r.check(e)
	case conductor.LimitChanged:
		r.logLimit(e)
	case conductor.DecliningChanged:
		r.logDeclining(e)
	case conductor.ConfigurationInForce:
		r.logInForce(e)
	case conductor.EndpointLeft:
		r.options.Recorder.Event("endpoint leaving", "endpoint", string(e.Endpoint), "at", string(e.Node))
	case conductor.Abort:
		if abort, ok := r.aborts[e.ID]; ok {
			abort(errUnreachable)
		}
	}
}

// held is a Hold with the channel on which the effect that ends it arrives. The channel is made under the lock, since the
// Hold may end before the request's goroutine begins to wait.
type held struct {
	conductor.Effect
	id      conductor.CallID
	resumed chan conductor.Effect
}

func (r *Relayer) resume(id conductor.CallID, effect conductor.Effect) {
	c, ok := r.waiting[id]
	if !ok {
		return
	}
	delete(r.waiting, id)
	c <- effect
}

// wait returns the effect that ends a Hold, or the context's error.
func (r *Relayer) wait(ctx context.Context, h held) (conductor.Effect, error) {
	select {
	case effect := <-h.resumed:
		return effect, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	delete(r.waiting, h.id)
	r.mu.Unlock()
	select {
	case effect := <-h.resumed:
		return effect, nil
	default:
		return nil, ctx.Err()
	}
}

func callOf(e conductor.Effect) (conductor.CallID, bool) {
	switch e := e.(type) {
	case conductor.Refuse:
		return e.ID, true
	case conductor.Send:
		return e.ID, true
	case conductor.Draw:
		return e.ID, true
	case conductor.Give:
		return e.ID, true
	case conductor.Reply:
		return e.ID, true
	case conductor.Run:
		return e.ID, true
	case conductor.Hold:
		return e.ID, true
	case conductor.TurnAway:
		return e.ID, true
	case conductor.ReportEnd:
		return e.ID, true
	default:
		return 0, false
	}
}
