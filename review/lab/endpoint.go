package main

// An endpoint reads requests from its connections one by one and announces itself to the node on its machine. What it does
// with a request is its behavior.
//
// Example: a request for another instance is answered with 421 and not run.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behavior handles one request of a connection; with false the connection ends. It has to read the request's body.
type behavior func(c *endpointConnection, r *http.Request) bool

// endpointConnection is one connection of an endpoint.
type endpointConnection struct {
	net.Conn
	endpoint *endpoint
	reader   *bufio.Reader
	// pending are bytes that are sent as soon as the next request has been read.
	pending []byte
}

// endpoint is an application endpoint.
type endpoint struct {
	machine  *machine
	id       string
	born     int64
	behave   behavior
	listener net.Listener
	running  atomic.Int64
	sequence atomic.Int64

	mu          sync.Mutex
	connections map[net.Conn]struct{}
}

func newEndpoint(m *machine, b behavior) (*endpoint, error) {
	l, err := net.Listen("tcp", m.address(endpointPort))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		machine: m, id: "i-" + m.name, born: time.Now().UnixMilli(), behave: b, listener: l,
		connections: map[net.Conn]struct{}{},
	}
	go e.accept()
	return e, nil
}

func (e *endpoint) accept() {
	for {
		n, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connections[n] = struct{}{}
		e.mu.Unlock()
		go e.serve(&endpointConnection{Conn: n, endpoint: e, reader: bufio.NewReader(n)})
	}
}

func (e *endpoint) serve(c *endpointConnection) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.connections, c.Conn)
		e.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if len(c.pending) > 0 {
			_, _ = c.Write(c.pending)
			c.pending = nil
		}
		if target := r.Header.Get(names.Target); target != "" && target != e.id {
			c.answer(r, http.StatusMisdirectedRequest, "", notRun())
			return
		}
		if !e.behave(c, r) {
			return
		}
	}
}

// answerBytes returns an answer to a request.
func (e *endpoint) answerBytes(r *http.Request, status int, body string, fields ...string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n",
		status, http.StatusText(status), names.RequestID, r.Header.Get(names.RequestID), names.Instance, e.id, len(body))
	_, _ = fmt.Fprintf(&b, "%s: %d,0,%d\r\n", names.Load, e.running.Load(), e.machine.slots)
	for _, f := range fields {
		_, _ = b.WriteString(f + "\r\n")
	}
	_, _ = b.WriteString("\r\n" + body)
	return b.Bytes()
}

func (c *endpointConnection) answer(r *http.Request, status int, body string, fields ...string) {
	_, _ = c.Write(c.endpoint.answerBytes(r, status, body, fields...))
}

// answerBody returns the body of the answer to a request.
func answerBody(id string) string {
	return "answer to " + id + " " + strings.Repeat("x", 400)
}

// announce sends heartbeats until the context ends.
func (e *endpoint) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		pause := 1500 * time.Millisecond
		if !e.beat(ctx, client) {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (e *endpoint) beat(ctx context.Context, client *http.Client) bool {
	m := e.machine
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},`+
		`"status":{"state":"ready","sequence":%d,"coldLeft":"0ms"}}`,
		m.address(endpointPort), e.born, m.service, m.zone, m.slots, e.sequence.Add(1))
	url := "http://" + m.address(controlPort) + "/instances/" + e.id
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (e *endpoint) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.connections {
		_ = n.Close()
	}
}

// drain reads a request's body to its end.
func drain(r *http.Request) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}
