package mesher

// The parts of a node interact only through the relayer. Whatever depends on the platform (header names, calls to the
// store, the formats of configurations and heartbeats) is passed in.
//
// Example: err := Run(ctx, Options{Settings: s, Platform: p, Out: os.Stdout})

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/jackdawtide/jackdawtide/internal/apportioner"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
	"github.com/jackdawtide/jackdawtide/internal/relayer"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

// Platform holds what a node needs from the platform that it runs on.
type Platform struct {
	Headers relayer.Headers
	// Operators is the topic that holds the configuration under ConfigurationKey, Members the one with the member records.
	Operators        watcher.Topic
	Members          watcher.Topic
	ConfigurationKey string
	Decode           func([]byte) (matcher.Configuration, error)
	// EvacuatedDomain returns the failure domain that a key of the operators' topic evacuates, false for any other key.
	EvacuatedDomain func(key string) (identifier.FailureDomain, bool)
	// Announcements returns the handler of the local endpoint's heartbeats.
	Announcements func(
		accept func(registrar.Announcement) error,
		remove func(identifier.Endpoint),
		refused func(error),
	) http.Handler
}

// Options configure a node.
type Options struct {
	Settings loader.Sidecar
	Platform Platform
	// Out receives the log.
	Out io.Writer
	// WatchSettings calls apply with settings that have changed while the node runs, and reject with the error of invalid
	// ones, until the context ends; nil disables the reloading of settings.
	WatchSettings func(ctx context.Context, apply func(loader.Sidecar), reject func(error))
}

// node is a running node.
type node struct {
	options  Options
	clock    *clock.Clock
	recorder *recorder.Recorder
	relayer  *relayer.Relayer
	// grace is the grace time of a planned stop in milliseconds, by the settings that were read last.
	grace atomic.Int64
	// requests is the context from which those of all requests are derived; cancelRequests ends it with a cause.
	requests       context.Context
	cancelRequests context.CancelCauseFunc
	// outbound serves callers and the local endpoint, with pipelined requests; inbound serves other nodes' requests for the
	// local endpoint.
	outbound, inbound *pipeliner.Pipeliner
	// memory is what all connections together may hold for their callers.
	memory  *reserver.Pool
	records chan exchanger.Member
	// writtenSequence is the sequence number of the member record that was last written to the store.
	writtenSequence atomic.Int64
	exchangeClient  *http.Client
	// longPollClient is used for reads that wait at another node for orders; orders serves those that wait here.
	longPollClient    *http.Client
	orders            orders
	servers           []*http.Server
	cancel            context.CancelFunc
	exchangeRequested chan struct{}
	// connections counts all open connections of the node.
	connections  *requester.Connections
	confirmation confirmation
	// configurations watches the operators' topic.
	configurations *watcher.Watcher
}

// memoryLimitRatio is the ratio of the Go runtime's memory limit to the node's; the rest is left for socket buffers and
// the runtime's overhead.
const memoryLimitRatio = 0.5

// startTimeout is the timeout of the start, during which only listeners are opened.
const startTimeout = 10 * time.Second

// Run runs a node until the context ends, and then performs a planned stop.
func Run(ctx context.Context, o Options) error {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(o.Settings.MemoryMB<<20)))
	var n *node
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o),
		fx.Provide(clock.New, newRecorder, newConductor, newNode),
		fx.Invoke(func(lifecycle fx.Lifecycle, built *node) {
			n = built
			lifecycle.Append(fx.Hook{OnStart: built.start, OnStop: built.stop})
		}),
	)
	if err := app.Err(); err != nil {
		return err
	}
	// A stop that is requested meanwhile begins after the start: the first listeners may have read requests.
	start, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	<-ctx.Done()
	stop, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), n.graceTime().Std())
	defer cancelStop()
	return app.Stop(stop)
}

func newRecorder(o Options, c *clock.Clock) *recorder.Recorder {
	return recorder.New(o.Out, string(o.Settings.Name), c.Now)
}

func newConductor(o Options, c *clock.Clock) *conductor.Conductor {
	s := o.Settings
	return conductor.New(conductor.Options{
		Self: exchanger.Member{
			Node:            s.Name,
			DeliveryAddress: s.Listen.Inbound.String(),
			PeerAddress:     s.Listen.Peer.String(),
			Domain:          s.Domain,
			Service:         s.Service,
			Incarnation:     int64(c.Wall()),
		},
		Bounds:          boundsOf(s.Bounds),
		EndpointAddress: s.Endpoint.String(),
		Regions:         s.Regions,
		Random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, c.Now())
}

func boundsOf(b loader.SidecarBounds) conductor.Bounds {
	return conductor.Bounds{
		RevokeWithin: b.Revoke,
		ApplyWithin:  b.ConfigurationInForce,
		RetryRatio:   b.RetryRatio,
		RetrySlack:   b.RetrySlack,
		RetryWindow:  b.RetryWindow,
		Cold:         conductor.ColdBound{Excess: b.ColdExcess, Slack: b.ColdSlack},
		Rate: apportioner.Tolerance{
			Window:   float64(b.RateWindow) / float64(clock.Second),
			Part:     b.RateExcess,
			Requests: b.RateSlack,
		},
	}
}

// maxQueuedRecords is how many changes of this node's member record may wait to be written; only the newest counts.
const maxQueuedRecords = 16

// maxPipelined is how many pipelined requests on one connection may start before the earlier ones are answered.
const maxPipelined = 4

func newNode(o Options, c *clock.Clock, k *conductor.Conductor, log *recorder.Recorder) *node {
	o.Platform.Operators = countingTopic{Topic: o.Platform.Operators, name: "operators", recorder: log}
	o.Platform.Members = countingTopic{Topic: o.Platform.Members, name: "members", recorder: log}
	n := &node{
		options:           o,
		clock:             c,
		recorder:          log,
		records:           make(chan exchanger.Member, maxQueuedRecords),
		exchangeClient:    newPeerClient(),
		longPollClient:    newPeerClient(),
		exchangeRequested: make(chan struct{}, 1),

		connections: requester.NewConnections(o.Settings.Descriptors),
		memory:      reserver.New(reserver.PartOf(int64(o.Settings.MemoryMB) << 20)),
	}
	n.relayer = relayer.New(relayer.Options{
		Conductor:       k,
		Clock:           c,
		Headers:         o.Platform.Headers,
		Service:         o.Settings.Service,
		EndpointAddress: o.Settings.Endpoint.String(),
		Connections:     n.connections,
		Publish:         n.publish,
		Confirm:         n.confirmConfiguration,
		ReportEnd:       n.reportEnd,
		Recorder:        log,
		Memory:          n.memory,
	})
	n.grace.Store(int64(o.Settings.Bounds.Grace))
	n.requests, n.cancelRequests = context.WithCancelCause(context.Background())
	n.outbound = n.newPipeliner("outbound", pipeliner.Options{
		Handler:       http.HandlerFunc(n.relayer.ServeOutbound),
		MaxAhead:      maxPipelined,
		MayStartAhead: n.relayer.MayPipeline,
		HeadLimit:     n.headLimit,
	})
	n.inbound = n.newPipeliner("inbound", pipeliner.Options{Handler: http.HandlerFunc(n.relayer.ServeInbound)})
	n.configurations = n.newConfigurationWatcher()
	return n
}

// headSlack is how much longer than the configuration's limit a caller's head may be: what it counts of a head is not said.
const headSlack = 4 << 10

// headLimit returns the length of the longest head that the configuration in force allows callers, 0 if it sets no limit or if a newer
// one may have been accepted meanwhile.
func (n *node) headLimit() (limit int) {
	boot := clock.Boot{}.Now()
	n.relayer.View(func(c *conductor.Conductor, _ clock.Time) {
		m := c.Matcher()
		if m == nil || c.ConfigurationOverdue(boot) {
			return
		}
		if allowed := m.Configuration().Limits.HeaderBytes; allowed > 0 {
			limit = int(allowed) + headSlack
		}
	})
	return limit
}

// newPipeliner returns a pipeliner for a listener, with the bounds that all listeners share.
func (n *node) newPipeliner(listener string, o pipeliner.Options) *pipeliner.Pipeliner {
	o.Context, o.Memory, o.MaxHead = n.requests, n.memory, maxHeadBytes
	o.Room = func(int) pipeliner.Room {
		switch {
		case n.connections.Full():
			return pipeliner.NoRoom
		case n.connections.Scarce():
			return pipeliner.ScarceRoom
		default:
			return pipeliner.AmpleRoom
		}
	}
	o.Refused = func(reason pipeliner.RefusalReason, from net.Addr) {
		n.recorder.ConnectionRefused(listener, string(reason), from.String())
	}
	return pipeliner.New(o)
}
