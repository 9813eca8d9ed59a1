package soaker

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// A staying caller that dropped the second of two requests behind a closing answer, or mistook a reset for an orderly end,
// would hide lost requests or report ones that were never read.
func TestStayingCallerReadsToTheEnd(t *testing.T) {
	const (
		unread  = "unread"
		answer  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		closing = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	)
	tests := map[string]struct {
		reply    string
		reset    bool
		statuses [2]int
		orderly  bool
		behind   bool
		open     bool
	}{
		"both answered":                        {answer + answer, false, [2]int{503, 503}, false, false, true},
		"second answered behind a closing one": {closing + answer, false, [2]int{503, 503}, false, true, false},
		"second unanswered behind a closing":   {closing, false, [2]int{503, 0}, true, true, false},
		"second unanswered":                    {answer, false, [2]int{503, 0}, true, false, false},
		"none answered":                        {"", false, [2]int{0, 0}, true, false, false},
		"reset":                                {"", true, [2]int{0, 0}, false, false, false},
		"closed unread":                        {unread, false, [2]int{0, 0}, false, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if test.reply == unread {
					closeUnread(l)
					return
				}
				serveTwo(l, test.reply, test.reset, test.open)
			}()
			f := &fleet{record: NewRecord(), options: Options{Seed: 1}, teams: &teams{}}
			c := &stayingCaller{record: f.record, node: &node{name: "node-1", outbound: l.Addr().String()}}
			random := rand.New(rand.NewPCG(1, 1))
			all := make([]outgoing, 2)
			for i := range all {
				all[i].request, _, _ = f.drawRequest(random, l.Addr().String(), fmt.Sprint("x", i))
				all[i].sent = Sent{ID: all[i].request.ID, Node: "node-1"}
			}
			c.exchange(all)
			assert.Equal(t, c.connection != nil, test.open)
			c.close()
			<-ended
			assert.Equal(t, f.record.sent["x0"].Answer.Status, test.statuses[0])
			assert.Assert(t, !f.record.sent["x0"].FirstInLine.IsZero())
			second := f.record.sent["x1"]
			assert.Equal(t, second.Answer.Status, test.statuses[1])
			assert.Equal(t, endedOrderly(second.Answer.Err), test.orderly, "%v", second.Answer.Err)
			assert.Equal(t, second.FirstInLine.IsZero(), test.behind || test.statuses[0] == 0)
		})
	}
}

// serveTwo reads two requests from one connection, replies, and ends the connection unless it is to stay open.
func serveTwo(l net.Listener, reply string, resets, open bool) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = c.Write([]byte(reply))
	if resets {
		reset(c)
	}
	if open {
		_, _ = reader.ReadByte()
	}
}

// closeUnread closes a connection on which at least one byte has arrived and none was read.
func closeUnread(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err == nil {
		// The first call waits until the connection is readable.
		waited := false
		_ = raw.Read(func(uintptr) bool { done := waited; waited = true; return done })
	}
	_ = c.Close()
}

// A request that a kept connection lost and the client sent once more must not pass as one that was answered at once.
func TestCallTellsOfLostConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	const answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	go func() {
		for range 2 {
			c, err := l.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(c)
			_, _ = http.ReadRequest(reader)
			_, _ = c.Write([]byte(answer))
			// The next request is read and not answered.
			_, _ = http.ReadRequest(reader)
			_ = c.Close()
		}
	}()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	q := standin.Request{Address: l.Addr().String(), Host: host, Path: "/look/x", ID: "x", Timeout: time.Second}
	first := standin.Call(t.Context(), client, q)
	assert.NilError(t, first.Err)
	assert.Assert(t, first.LostAt.IsZero())
	second := standin.Call(t.Context(), client, q)
	assert.NilError(t, second.Err)
	assert.Equal(t, second.Status, http.StatusServiceUnavailable)
	assert.Assert(t, !second.LostAt.IsZero())
}
