// The overhead of QUIC, UDP and IP for a message, the cost of an idle connection, and the cost of a call by its depth
// are measured over real loopback sockets. The first two count towards the control budget, the third towards that of
// calls.
//
// Example: a single control message of 64 B takes some 150 B on the wire, acknowledgement included.

package measurer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jackdawtide/jackdawtide/internal/certifier"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

// packetOverhead is the size of the IPv4 and UDP headers of each datagram, in bytes.
const packetOverhead = 28

// chainNode forwards a call to the next node and relays its answer, or answers it if its remaining depth is at most
// 1.
type chainNode struct {
	self *transporter.Transporter
	// next is set once all nodes listen. It is atomic, since connections over which calls arrive may be open before.
	next atomic.Pointer[transporter.Peer]
}

// ServeCall forwards the call while its remaining depth is above 1, and then answers it.
func (r *chainNode) ServeCall(
	ctx context.Context, _ identifier.Node, head transporter.CallHead, _ io.Reader, w transporter.AnswerWriter,
) {
	if head.Depth > 1 {
		head.Depth--
		answer, _, err := r.self.Call(ctx, *r.next.Load(), head, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return
		}
	}
	if w.WriteHead(transporter.AnswerHead{Status: 200}) == nil {
		_ = w.Close(transporter.AnswerTail{})
	}
}

// ServeControl drops the message.
func (r *chainNode) ServeControl(identifier.Node, []byte) {}

// loopbackFleet holds the transports of a few nodes on the loopback interface.
type loopbackFleet struct {
	nodes []*chainNode
	peers []transporter.Peer
}

func newLoopbackFleet(ctx context.Context, n int) (*loopbackFleet, error) {
	now := time.Now()
	authority, err := certifier.NewAuthority(now, time.Hour)
	if err != nil {
		return nil, err
	}
	s := &loopbackFleet{}
	for i := range n {
		if err := s.open(ctx, authority, i); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	for i, r := range s.nodes {
		r.next.Store(&s.peers[(i+1)%n])
	}
	return s, nil
}

func (s *loopbackFleet) open(ctx context.Context, authority certifier.Authority, i int) error {
	id := identifier.Node(fmt.Sprintf("01-%08x", i))
	pair, err := authority.Issue(certifier.Identity{Role: certifier.Node, Name: string(id)}, time.Now(), time.Hour)
	if err != nil {
		return err
	}
	trust, err := certifier.NewTrust(authority.Certificate, pair)
	if err != nil {
		return err
	}
	r := &chainNode{}
	r.self = transporter.New(transporter.Options{
		Listen: "127.0.0.1:0", ServerTLS: trust.Server(nil, certifier.Node), ClientTLS: trust.Client(nil), Self: id, Domain: domainName(0),
		IdleAfter: clock.Hour,
	}, r)
	if err := r.self.Start(ctx); err != nil {
		return err
	}
	s.nodes = append(s.nodes, r)
	s.peers = append(s.peers, transporter.Peer{Node: id, Address: r.self.Address()})
	return nil
}

func (s *loopbackFleet) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var all error
	for _, r := range s.nodes {
		all = errors.Join(all, r.self.Close(ctx))
	}
	return all
}

// wireBytes returns the bytes that a node has sent and received so far, including the headers of all layers.
func (s *loopbackFleet) wireBytes(i int) float64 {
	c := s.nodes[i].self.Stats()
	return float64(c.BytesSent + c.BytesReceived + packetOverhead*(c.PacketsSent+c.PacketsReceived))
}

// messageCost returns the bytes on the wire and the processor time of both ends in nanoseconds for one control
// message of the given size.
func messageCost(ctx context.Context, bytes int) (wire, cpu float64, _ error) {
	const count = 400
	s, err := newLoopbackFleet(ctx, 2)
	if err != nil {
		return 0, 0, err
	}
	send := func(n int) error {
		for range n {
			if err := s.nodes[0].self.SendControl(s.peers[1], make([]byte, bytes)); err != nil {
				return err
			}
			time.Sleep(4 * time.Millisecond)
		}
		return nil
	}
	if err := send(20); err != nil {
		return 0, 0, errors.Join(err, s.close())
	}
	before, start := s.wireBytes(0), processorTime()
	err = send(count)
	wire = (s.wireBytes(0) - before) / count
	cpu = float64(processorTime()-start) / count
	return wire, cpu, errors.Join(err, s.close())
}

// connectionCost is the cost of all connections of one node: dialTime and heap at both ends, bytes at this node.
type connectionCost struct {
	// dialBytes and dialTime, in nanoseconds, are the cost of opening all of them.
	dialBytes, dialTime float64
	heap                float64
	// idleBytes is what all of them put on the wire a second while idle.
	idleBytes float64
}

// connectionsCost opens n connections from one node, leaves them idle, and returns their cost.
func connectionsCost(ctx context.Context, n int) (c connectionCost, _ error) {
	s, err := newLoopbackFleet(ctx, n+1)
	if err != nil {
		return c, err
	}
	before, start := liveHeap(), processorTime()
	for i := range n {
		if err := s.firstCall(ctx, i+1); err != nil {
			return c, errors.Join(err, s.close())
		}
	}
	c.dialTime = float64(processorTime() - start)
	c.dialBytes = s.wireBytes(0)
	time.Sleep(4 * time.Second)
	c.heap = float64(liveHeap()) - float64(before)
	began, from := time.Now(), s.wireBytes(0)
	time.Sleep(8 * time.Second)
	c.idleBytes = (s.wireBytes(0) - from) / time.Since(began).Seconds()
	return c, s.close()
}

func (s *loopbackFleet) firstCall(ctx context.Context, to int) error {
	answer, _, err := s.nodes[0].self.Call(ctx, s.peers[to], transporter.CallHead{}, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

// chainCost returns the median and the 99th percentile of the latency of a call through depth hops, and the processor
// time of the whole chain per call, all in microseconds.
func chainCost(ctx context.Context, depth int) (p50, p99, cpu float64, _ error) {
	const calls = 2000
	s, err := newLoopbackFleet(ctx, 4)
	if err != nil {
		return 0, 0, 0, err
	}
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	start := processorTime()
	for i := 0; i < calls && err == nil; i++ {
		if i == calls/10 {
			h.Reset()
			start = processorTime()
		}
		err = s.timeCall(ctx, depth, h)
		time.Sleep(time.Millisecond)
	}
	cpu = float64(processorTime()-start) / (calls - calls/10) / 1e3
	p50, p99 = float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(99))/1e3
	return p50, p99, cpu, errors.Join(err, s.close())
}

func (s *loopbackFleet) timeCall(ctx context.Context, depth int, h *hdrhistogram.Histogram) error {
	start := time.Now()
	head := transporter.CallHead{Service: serviceName(0), Method: "GET", Path: "/tonight", Depth: uint8(depth)}
	answer, _, err := s.nodes[0].self.Call(ctx, s.peers[1], head, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	return h.RecordValue(int64(time.Since(start)))
}
