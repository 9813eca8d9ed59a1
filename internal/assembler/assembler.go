// A node is assembled by fx from small constructors, in the order in which data flows: transport, state, performer,
// deliverer, forwarder, receiver, listeners.
//
// Example: n, err := assembler.New(assembler.Options{Settings: s, Trust: t, Log: l, Logger: g}); n.Start(ctx);
// …; n.Stop(ctx) finishes every call under way before it returns.

package assembler

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/forwarder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/loader"
	"github.com/jackdawtide/jackdawtide/internal/performer"
	"github.com/jackdawtide/jackdawtide/internal/receiver"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// Options configures a node and holds what it depends on.
type Options struct {
	Settings loader.Settings
	Trust    certifier.Trust
	Log      appender.Log
	Logger   *log.Logger
	// Clock is the process's clock, nil for a new one; a test may keep a reference to it in order to pause the node.
	Clock *clock.Clock
	// Partitioned returns whether all traffic with a peer is dropped; nil drops none. It is for tests.
	Partitioned func(peer identifier.Node) bool
}

// Addresses holds the addresses on which a running node listens.
type Addresses struct {
	Caller string
	Local  string
	Peer   string
	Admin  string
}

// Node is one process of the system.
type Node struct {
	app         *fx.App
	id          identifier.Node
	servers     *servers
	peer        *transporter.Transporter
	lifecycle   *lifecycle
	stateReader *stateReader
}

// New assembles a node; of its listeners only the one for peers is open yet.
func New(o Options) (*Node, error) {
	if o.Clock == nil {
		o.Clock = clock.New()
	}
	n := &Node{id: newNodeID(o.Settings.Name)}
	n.app = fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout(o)),
		fx.Supply(o, o.Clock, o.Logger, n.id),
		fx.Provide(
			newInbox,
			newTransporter,
			newState,
			func(o Options, c *clock.Clock, t *transporter.Transporter) *effectRunner {
				return newEffectRunner(c, o.Logger, o.Log, t)
			},
			func(c *clock.Clock, s *reducer.State, er *effectRunner) *performer.Performer {
				return performer.New(c, s, er)
			},
			deliverer.New,
			func(id identifier.Node, d *deliverer.Deliverer, t *transporter.Transporter) *forwarder.Forwarder {
				return forwarder.New(id, d, t)
			},
			func(o Options, id identifier.Node, c *clock.Clock, p *performer.Performer, f *forwarder.Forwarder, b *bounds) *receiver.Receiver {
				return receiver.New(id, c, p, f, b.memory, int(o.Settings.Limits.MaxBodies))
			},
			newBounds,
			newStateReader,
			newServers,
			newLifecycle,
		),
		fx.Invoke(connectInbox, runNode),
		fx.Populate(&n.servers, &n.peer, &n.lifecycle, &n.stateReader),
	)
	if err := n.app.Err(); err != nil {
		return nil, fmt.Errorf("assemble node %s: %w", o.Settings.Name, err)
	}
	return n, nil
}

// Every start of a node gets a new id. Otherwise peers could mistake a restarted process for the previous one on the same
// VM, whose leases and promises it does not know.
func newNodeID(name loader.NodeName) identifier.Node {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return identifier.Node(string(name) + "." + hex.EncodeToString(b[:]))
}

// ID returns the id of this run of the node.
func (n *Node) ID() identifier.Node { return n.id }

// Start opens the listeners and starts the node's work.
func (n *Node) Start(ctx context.Context) error { return n.app.Start(ctx) }

// Stop is a planned stop: the node hands over its leases and finishes every call.
func (n *Node) Stop(ctx context.Context) error { return n.app.Stop(ctx) }

// Kill stops the node at once, like a crash.
func (n *Node) Kill() {
	n.lifecycle.kill()
	_ = n.app.Stop(context.Background())
}

// Addresses returns where the node listens; it is complete once Start has returned.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Caller: n.servers.caller.address(),
		Local:  n.servers.local.address(),
		Peer:   n.peer.Address(),
		Admin:  n.servers.admin.address(),
	}
}

func newTransporter(o Options, id identifier.Node, in *inbox) (*transporter.Transporter, error) {
	t := transporter.New(transporter.Options{
		Listen:      o.Settings.Listen.Peer.String(),
		ServerTLS:   o.Trust.Server(nil, certifier.Node),
		ClientTLS:   o.Trust.Client(nil),
		Self:        id,
		Domain:      o.Settings.Domain,
		Partitioned: o.Partitioned,
	}, in)
	// The node's address is part of its state, and with port 0 it is only known once the socket is open.
	if err := t.Start(context.Background()); err != nil {
		return nil, fmt.Errorf("listen for nodes on %s: %w", o.Settings.Listen.Peer, err)
	}
	return t, nil
}

func newState(o Options, id identifier.Node, t *transporter.Transporter) *reducer.State {
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	seeds := make([]string, 0, len(o.Settings.Seeds))
	for _, s := range o.Settings.Seeds {
		seeds = append(seeds, s.String())
	}
	return reducer.New(reducer.Options{
		Self:       id,
		Domain:     o.Settings.Domain,
		Address:    t.Address(),
		Seeds:      seeds,
		Seed:       binary.NativeEndian.Uint64(seed[:]),
		Decode:     encoder.Decode,
		MaxSilence: o.Settings.Log.MaxSilence,
		Retention:  o.Settings.Log.Retention,
	})
}

// TransportStats returns the statistics of the node's transport.
func (n *Node) TransportStats() transporter.Stats { return n.peer.Stats() }

// Pause blocks all decisions of the node for the given time, like a VM that does not run the process, and returns when the
// time is over; it is for tests.
func (n *Node) Pause(d time.Duration) {
	n.lifecycle.performer.View(func(clock.Time) { time.Sleep(d) })
}

// Dump returns the node's state at this moment.
func (n *Node) Dump() reducer.Dump { return n.stateReader.Dump() }
