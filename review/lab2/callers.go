package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/platform"
)

const (
	deadline   = 5 * time.Second
	maxCallers = 200
)

// callers send one tenant's requests to each node at a rate that can change.
type callers struct {
	fleet  *fleet
	key    string
	client *http.Client
	lastID atomic.Int64
	// interval is the time between two requests at one node, in nanoseconds.
	interval atomic.Int64
	sending  sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

func newCallers(f *fleet, key string) *callers {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxCallers,
		IdleConnTimeout:     5 * time.Second,
	}
	c := &callers{fleet: f, key: key, client: &http.Client{Transport: transport}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// setRate sets the requests a second at each node.
func (c *callers) setRate(perSecond float64) {
	c.interval.Store(int64(float64(time.Second) / perSecond))
}

// begin starts to send to each node of the fleet at a rate.
func (c *callers) begin(perSecond float64) {
	c.setRate(perSecond)
	for _, n := range c.fleet.nodes {
		c.run(n)
	}
}

// end stops sending and waits for the answers.
func (c *callers) end() {
	c.cancel()
	c.sending.Wait()
}

// rateCheck is the longest time after which a changed rate takes effect.
const rateCheck = 20 * time.Millisecond

// run sends requests to one node until end is called, whether or not earlier ones are answered.
func (c *callers) run(n *node) {
	c.sending.Go(func() {
		// due is how many requests should have been sent so far, as a fraction.
		due := 0.0
		for last := time.Now(); c.ctx.Err() == nil; {
			now := time.Now()
			due += float64(now.Sub(last)) / float64(c.interval.Load())
			last = now
			for ; due >= 1; due-- {
				c.sending.Go(func() { c.send(n) })
			}
			wait := time.Duration((1 - due) * float64(c.interval.Load()))
			time.Sleep(min(wait, rateCheck))
		}
	})
}

func (c *callers) send(n *node) {
	id := fmt.Sprintf("c%d", c.lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.outbound+"/book/x", nil)
	if err != nil {
		return
	}
	h := platform.Headers()
	r.Host = host
	r.Header.Set(h.RequestID, id)
	r.Header.Set(h.TimeLeft, fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set(h.Key, h.KeyScheme+c.key)
	c.fleet.record.addSent(id, n.name)
	response, err := c.client.Do(r)
	if err != nil {
		c.fleet.record.addAnswer(id, 0)
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.fleet.record.addAnswer(id, 0)
		return
	}
	c.fleet.record.addAnswer(id, response.StatusCode)
}
