package soaker

// A staying caller sends all its requests on one connection until that ends, and opens the next one at once, also while its
// node stops. Some send two requests at a time, so that the node has the second one before it has answered the first. They
// reach the node without a proxy: how the node ends a connection tells whether it had read what was sent on it.
//
// Example: both requests are sent, the first answer says that the connection closes, and the second answer still comes.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	// stayingInterval is the time between two requests of a staying caller, on average. The two at a node add a ninth to the
	// requests of the other callers there.
	stayingInterval = 6 * requestInterval
	// maxAhead is the most requests that a staying caller sends at a time.
	maxAhead = 2
	// stayingSeed is the first number of the staying callers' random generators, far above those of the others.
	stayingSeed = 10_000
)

// stayingCaller is used by one goroutine.
type stayingCaller struct {
	record     *Record
	node       *node
	connection net.Conn
	reader     *bufio.Reader
}

// outgoing is a request together with what is recorded of it.
type outgoing struct {
	request standin.Request
	sent    Sent
}

// startStayingCallers starts the staying callers at the node with the given number.
func (f *fleet) startStayingCallers(ctx context.Context, n *node, number int, running *sync.WaitGroup) {
	for ahead := 1; ahead <= maxAhead; ahead++ {
		random := rand.New(rand.NewPCG(f.options.Seed, uint64(stayingSeed+number*maxAhead+ahead)))
		running.Go(func() { f.runStayingCaller(ctx, n, ahead, random) })
	}
}

func (f *fleet) runStayingCaller(ctx context.Context, n *node, ahead int, random *rand.Rand) {
	c := &stayingCaller{record: f.record, node: n}
	defer c.close()
	ticker := time.NewTicker(f.interval(stayingInterval) * time.Duration(ahead))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		all := make([]outgoing, ahead)
		for j := range all {
			o := &all[j]
			var team string
			var idempotent bool
			o.request, team, idempotent = f.drawRequest(random, n.outbound, fmt.Sprintf("%s-stays%d-%d", n.name, ahead, i*ahead+j))
			o.sent = Sent{
				ID: o.request.ID, Node: n.name, Path: o.request.Path, Body: o.request.Body, Team: team, Key: o.request.Key,
				Idempotent: idempotent,
			}
		}
		c.exchange(all)
	}
}

// exchange sends requests at a time and reads their answers, which come in the same order. It records all of them.
func (c *stayingCaller) exchange(all []outgoing) {
	at := time.Now()
	err := c.send(all)
	firstInLine, closing := at, false
	for i := range all {
		s := &all[i].sent
		s.At = at
		if err == nil {
			s.FirstInLine = firstInLine
			var closes bool
			s.Answer, closes = standin.Receive(c.reader, all[i].request)
			err, closing = s.Answer.Err, closing || closes
		} else {
			s.Answer.Err = err
		}
		s.Answered = time.Now()
		if firstInLine = s.Answered; closing {
			firstInLine = time.Time{}
		}
		c.record.AddRequest(*s)
	}
	if err != nil || closing {
		c.close()
	}
}

// send sends requests on the open connection, or on a new one, and sets when their answers must have arrived.
func (c *stayingCaller) send(all []outgoing) error {
	if c.connection == nil {
		connection, err := net.DialTimeout("tcp", c.node.outbound, callTimeout)
		if err != nil {
			return err
		}
		c.connection, c.reader = connection, bufio.NewReader(connection)
	}
	var text bytes.Buffer
	for _, o := range all {
		if err := standin.Send(&text, o.request); err != nil {
			return err
		}
	}
	if err := c.connection.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	_, err := c.connection.Write(text.Bytes())
	return err
}

func (c *stayingCaller) close() {
	if c.connection != nil {
		_ = c.connection.Close()
	}
	c.connection = nil
}
