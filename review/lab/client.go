package main

// A client sends one request after the other on a kept connection, and opens a new one when the old one ends.
//
// Example: a := c.call(request{path: "/book/", method: "POST", body: "x"}, time.Second)

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	host = "hulo84.example"
	key  = "6wsjnbanfqasnmgkcuyj"
)

// request is what a client sends.
type request struct {
	id, method, path, body string
}

// answer is what a client got.
type answer struct {
	// status is 0 if there was no complete answer.
	status    int
	signature string
	body      string
	// kept is set if the request was sent on a connection that had been used before.
	kept bool
	err  error
}

// client is a client of one machine.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

// connect opens a connection unless there is one.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return nil
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// head returns the head of a request whose body has the given framing.
func (q request) head(timeout time.Duration, framing string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s%s\r\n%s\r\n",
		q.method, q.path, host, names.RequestID, q.id, names.TimeLeft, timeout.Milliseconds(), names.Key, names.KeyScheme, key, framing)
	return b.Bytes()
}

// call sends a request and waits for its answer for as long as the client waits, and half a second.
func (c *client) call(q request, timeout time.Duration) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	framing := ""
	if q.method != http.MethodGet {
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout + 500*time.Millisecond))
	a := answer{kept: c.used}
	if _, err := c.conn.Write(append(q.head(timeout, framing), q.body...)); err != nil {
		c.disconnect()
		a.err = err
		return a
	}
	return c.receive(q, a)
}

// receive reads the answer to a request.
func (c *client) receive(q request, a answer) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		c.disconnect()
		a.err = err
		return a
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.disconnect()
		a.err = err
		return a
	}
	c.used = true
	if response.Close {
		c.disconnect()
	}
	a.status, a.signature, a.body = response.StatusCode, response.Header.Get(names.Signature), string(body)
	return a
}
