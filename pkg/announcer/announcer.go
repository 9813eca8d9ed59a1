package announcer

// A backend server must announce itself, send heartbeats while it runs, and report when it leaves. This package wraps
// the three calls, so that authors of backend servers can't forget one, such as the heartbeat.
//
// Example:
//
//	a, err := announcer.Announce(ctx, "http://127.0.0.1:7701", announcer.Backend{
//		Endpoint: "board-1", Service: "board", Address: "127.0.0.1:9000", Slots: 100, ConnectionLimit: 700,
//	}, func() float64 { return currentLoad() })
//	…
//	err = a.Leave(ctx) // returns once no call is left

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// HeartbeatInterval is the time between two heartbeats; after three missed heartbeats the node considers the server dead.
const HeartbeatInterval = 500 * time.Millisecond

const (
	requestTimeout = 2 * time.Second
	leavePoll      = 50 * time.Millisecond
	// leavePatience bounds how long Leave repeats a request that the node does not answer.
	leavePatience = 30 * time.Second
)

// Backend describes a backend server to its node.
type Backend struct {
	// Endpoint is unique among all backend servers.
	Endpoint string
	Service  string
	// Address is where the backend server listens for HTTP, as host:port.
	Address string
	// Slots is how many calls it can process concurrently.
	Slots int
	// ConnectionLimit is how many connections it accepts.
	ConnectionLimit int
	// ColdStart is how long it needs to reach full speed.
	ColdStart time.Duration
}

// StatusError reports an answer of the node other than success.
type StatusError struct {
	Status int
	Body   string
}

// Error names the status and the body of the node's answer.
func (e StatusError) Error() string {
	return fmt.Sprintf("node answered %d: %s", e.Status, e.Body)
}

// Announcement is a backend server's registration with its node; it sends the heartbeats.
type Announcement struct {
	node     string
	backend  Backend
	load     func() float64
	client   *http.Client
	stop     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
}

type announceBody struct {
	Endpoint        string `json:"endpoint"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	Slots           int    `json:"slots"`
	ConnectionLimit int    `json:"connectionLimit"`
	ColdStartMs     int64  `json:"coldStartMs"`
}

type heartbeatBody struct {
	Load float64 `json:"load"`
}

type stateBody struct {
	State    string `json:"state"`
	InFlight int    `json:"inFlight"`
}

// Announce registers b with the node at nodeURL and starts the heartbeats; load returns the fraction of the slots in use.
func Announce(ctx context.Context, nodeURL string, b Backend, load func() float64) (*Announcement, error) {
	a := &Announcement{
		node:    nodeURL,
		backend: b,
		load:    load,
		client:  &http.Client{Timeout: requestTimeout},
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	if err := a.announce(ctx); err != nil {
		return nil, err
	}
	go a.sendHeartbeats()
	return a, nil
}

// Leave requests that the node send no new calls, waits until every running call has ended, and stops the heartbeats.
// A request that a busy node leaves unanswered is repeated, since it may be sent twice.
func (a *Announcement) Leave(ctx context.Context) error {
	defer a.Stop()
	if err := a.repeat(ctx, http.MethodDelete, nil); err != nil {
		if isUnknown(err) {
			return nil
		}
		return fmt.Errorf("leave: %w", err)
	}
	for {
		var s stateBody
		err := a.repeat(ctx, http.MethodGet, &s)
		if isUnknown(err) {
			// The node has removed the backend server, because its heartbeats were late, and sends it no more calls.
			return nil
		}
		if err != nil {
			return fmt.Errorf("wait for the last calls: %w", err)
		}
		if s.InFlight == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leavePoll):
		}
	}
}

// repeat sends a request that changes nothing when it is sent twice, until the node answers it.
func (a *Announcement) repeat(ctx context.Context, method string, answer any) error {
	giveUpAt := time.Now().Add(leavePatience)
	for {
		err := a.request(ctx, method, a.path(), nil, answer)
		var e net.Error
		unanswered := errors.As(err, &e) && e.Timeout()
		if !unanswered || ctx.Err() != nil || time.Now().After(giveUpAt) {
			return err
		}
	}
}

// Stop ends the heartbeats without a report to the node, as a crash would.
func (a *Announcement) Stop() {
	a.stopOnce.Do(func() { close(a.stop) })
	<-a.stopped
}

func (a *Announcement) announce(ctx context.Context) error {
	b := a.backend
	body := announceBody{
		Endpoint:        b.Endpoint,
		Service:         b.Service,
		Address:         b.Address,
		Slots:           b.Slots,
		ConnectionLimit: b.ConnectionLimit,
		ColdStartMs:     b.ColdStart.Milliseconds(),
	}
	if err := a.request(ctx, http.MethodPost, "/-/backends", body, nil); err != nil {
		return fmt.Errorf("announce %s: %w", b.Endpoint, err)
	}
	return nil
}

// sendHeartbeats sends heartbeats until Stop. A replaced node does not know the backend server and answers a heartbeat
// with 404; without a new announcement the backend server would never get calls again.
func (a *Announcement) sendHeartbeats() {
	defer close(a.stopped)
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-t.C:
			a.sendHeartbeat()
		}
	}
}

func (a *Announcement) sendHeartbeat() {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	err := a.request(ctx, http.MethodPost, a.path()+"/heartbeat", heartbeatBody{Load: a.load()}, nil)
	if isUnknown(err) {
		// If the announcement fails too, the next heartbeat leads to another one.
		_ = a.announce(ctx)
	}
}

// isUnknown reports whether a node answered that it does not know the backend server.
func isUnknown(err error) bool {
	var e StatusError
	return errors.As(err, &e) && e.Status == http.StatusNotFound
}

func (a *Announcement) path() string {
	return "/-/backends/" + url.PathEscape(a.backend.Endpoint)
}

func (a *Announcement) request(ctx context.Context, method, path string, body, answer any) error {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, a.node+path, r)
	if err != nil {
		return err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return StatusError{Status: resp.StatusCode, Body: string(bytes.TrimSpace(text))}
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}
