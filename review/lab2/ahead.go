package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/platform"
	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	// spoiledShare is the part of a faulty endpoint's answers whose body has no end.
	spoiledShare = 0.02
	// firstTimeout is the timeout of the route to the service with the faulty endpoint, otherTimeout that of the other route,
	// patience how long a caller waits for an answer: the other requests' time is not up when the first one's is.
	firstTimeout = 2 * time.Second
	otherTimeout = 5 * time.Second
	patience     = 6 * time.Second
	// maxLost is how many requests that were passed on to a sound endpoint may be left without an answer.
	maxLost = 3
	// readAheadGroup is how many requests a caller sends at a time: one to the service with the faulty endpoint, then others.
	readAheadGroup = 3
)

// aheadConfiguration returns a configuration with an idempotent route to each service.
func aheadConfiguration() []byte {
	route := func(prefix, service string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": "r-" + service, "host": host, "pathPrefix": prefix, "kind": "idempotent",
			"timeout": fmt.Sprintf("%dms", timeout.Milliseconds()), "slo": "1200ms", "priority": 1, "service": service,
			"maxAttempts": 2, "noAuth": true,
		}
	}
	about := func(service string) map[string]any {
		return map[string]any{"name": service, "healthPath": "/health", "maxConnections": 1684, "protocol": "h1", "tls": false}
	}
	data, err := json.Marshal(map[string]any{
		"version":  "00000007",
		"routes":   []map[string]any{route("/browse/", service, firstTimeout), route("/look/", otherService, otherTimeout)},
		"services": []map[string]any{about(service), about(otherService)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// aheadCaller sends idempotent requests ahead on kept connections to one node.
type aheadCaller struct {
	record *record
	node   *node
	lastID *atomic.Int64
}

// exchange sends one request on a new connection and reads its answer, and then sends groups of requests at a time, until the
// connection ends.
func (c aheadCaller) exchange(ctx context.Context) {
	connection, err := net.DialTimeout("tcp", c.node.outbound, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for group := 1; ctx.Err() == nil; group = readAheadGroup {
		var text bytes.Buffer
		var ids []string
		for i := range group {
			path := "/look/x"
			if i == 0 {
				path = "/browse/x"
			}
			id := fmt.Sprintf("c%d", c.lastID.Add(1))
			ids = append(ids, id)
			h := platform.Headers()
			fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, host, h.RequestID, id, h.TimeLeft,
				patience.Milliseconds())
			c.record.addSent(id, c.node.name)
			if i > 0 {
				c.record.addSentAhead(id)
			}
		}
		if err := connection.SetDeadline(time.Now().Add(patience)); err != nil {
			return
		}
		if _, err := connection.Write(text.Bytes()); err != nil || !c.receive(reader, ids) {
			return
		}
	}
}

// receive reads the answers to requests, and returns whether the connection can be used again.
func (c aheadCaller) receive(reader *bufio.Reader, ids []string) bool {
	open := true
	for i, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			for _, unanswered := range ids[i:] {
				c.record.addAnswer(unanswered, 0)
			}
			return false
		}
		c.record.addAnswer(id, response.StatusCode)
		open = open && !response.Close
	}
	return open
}

// playCutAhead lets one of three endpoints of a service spoil a small part of its answers with bodies that do not end.
func playCutAhead(ctx context.Context, s setup) (int, error) {
	const (
		callersPerNode = 4
		// calm is how long callers send before and after the trouble, spoiledTime how long the trouble lasts.
		calm        = 3 * time.Second
		spoiledTime = 5 * time.Second
	)
	var spoils atomic.Bool
	faulty := machine{service: service, condition: func(int) standin.Condition {
		if spoils.Load() && rand.Float64() < spoiledShare {
			return standin.Condition{Fault: standin.EndlessBody}
		}
		return standin.Condition{}
	}}
	machines := []machine{faulty, {service: service}, {service: service}, {service: otherService}, {service: otherService}}
	f, err := newFleet(ctx, s.directory, machines, aheadConfiguration())
	defer f.close()
	if err != nil {
		return notRun, err
	}
	if err := f.pause(4 * time.Second); err != nil {
		return notRun, err
	}
	f.record.note("callers send %d requests at a time", readAheadGroup)
	sending, cancel := context.WithTimeout(f.ctx, calm+spoiledTime+calm)
	defer cancel()
	var lastID atomic.Int64
	var running sync.WaitGroup
	for _, n := range f.nodes {
		for range callersPerNode {
			running.Go(func() {
				for sending.Err() == nil {
					aheadCaller{record: f.record, node: n, lastID: &lastID}.exchange(sending)
				}
			})
		}
	}
	if err := f.pause(calm); err != nil {
		return notRun, err
	}
	spoils.Store(s.trouble)
	f.record.note("one of the three endpoints of %s spoils a share of %v of its answers: %v", service, spoiledShare, s.trouble)
	if err := f.pause(spoiledTime); err != nil {
		return notRun, err
	}
	spoils.Store(false)
	f.record.note("all endpoints are sound")
	running.Wait()
	return judgeLost(f, "i-00", s.record)
}

// judgeLost writes the record and counts the requests that were sent ahead on a kept connection, ran at a sound endpoint, and whose
// connection ended without an answer before their own route's timeout.
func judgeLost(f *fleet, faulty, path string) (int, error) {
	if err := f.record.write(path); err != nil {
		return notRun, err
	}
	lost, answered := map[string]int{}, 0
	most := 0
	for _, q := range f.record.sorted() {
		switch {
		case q.status != 0:
			answered++
		case q.ahead && q.ran && q.endpoint != faulty && q.answered-q.sent < otherTimeout:
			lost[q.node]++
			most = max(most, lost[q.node])
		}
	}
	fmt.Printf("%d requests answered; passed on to a sound endpoint and left without an answer, by machine: %v, allowed are %d\n",
		answered, lost, maxLost)
	if most > maxLost {
		return broken, nil
	}
	return held, nil
}
