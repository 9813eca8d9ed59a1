package soaker

import (
	"context"
	"io"
	"net"
	"net/url"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// Around a planned stop of node-1 from second 20 to 24.8, a cut that was missed would let the fault pass, and an excused one
// that counted would make a soak red without a fault of the program under test.
func TestStopCheck(t *testing.T) {
	timeout := &url.Error{Op: "Get", URL: "/", Err: context.DeadlineExceeded}
	reset := &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	type endpoint struct {
		instance  string
		at, ended float64
	}
	type test struct {
		sent, cut   float64
		status      int
		err         error
		lostAt      float64
		firstInLine float64
		arrivals    []endpoint
		disruptions map[string]span
		noStop      bool
		want        int
	}
	cutAtWork := func(change func(*test)) test {
		c := test{sent: 24.5, cut: 24.8, err: io.ErrUnexpectedEOF, arrivals: []endpoint{{instance: "i-2", at: 24.51}}, want: 1}
		change(&c)
		return c
	}
	readOnly := func(change func(*test)) test {
		return cutAtWork(func(c *test) { c.arrivals, c.firstInLine = nil, c.sent; change(c) })
	}
	during := func(name string, from, to float64) map[string]span {
		return map[string]span{name: {from: second(from), to: second(to)}}
	}
	tests := map[string]test{
		"at an endpoint":                       cutAtWork(func(*test) {}),
		"arrived just after the cut":           cutAtWork(func(c *test) { c.arrivals[0].at = 24.803 }),
		"reset at an endpoint":                 cutAtWork(func(c *test) { c.err = reset }),
		"sent before SIGTERM":                  cutAtWork(func(c *test) { c.sent, c.cut, c.arrivals[0].at = 19.5, 20.3, 19.6 }),
		"cut at SIGTERM":                       cutAtWork(func(c *test) { c.sent, c.cut, c.arrivals[0].at = 19.9, 20, 19.95 }),
		"sent once more on another connection": cutAtWork(func(c *test) { c.lostAt, c.status, c.cut = 24.6, 200, 24.7 }),
		"its caller gave up on the second try": cutAtWork(func(c *test) { c.lostAt, c.err, c.cut = 24.6, timeout, 26.5 }),
		"at the second endpoint, first cut off": cutAtWork(func(c *test) {
			c.disruptions = during("i-1", 24.5, 24.6)
			c.arrivals = []endpoint{{instance: "i-1", at: 24.51}, {instance: "i-2", at: 24.6}}
		}),
		"the node was disrupted long before": cutAtWork(func(c *test) { c.disruptions = during("node-1", 20, 21.4) }),
		"another node was disrupted":         cutAtWork(func(c *test) { c.disruptions = during("node-2", 20, 25) }),
		"its run had ended in the last sixth": cutAtWork(func(c *test) {
			c.sent, c.cut, c.arrivals[0] = 22.9, 25.1, endpoint{instance: "i-2", at: 23, ended: 24.9}
		}),
		"sent late, at work in the last sixth": cutAtWork(func(c *test) { c.sent, c.cut, c.arrivals[0].at = 23.1, 25.05, 23.2 }),
		"read by the node":                     readOnly(func(*test) {}),

		"answered":                              cutAtWork(func(c *test) { c.status, c.err, c.want = 502, nil, 0 }),
		"never at an endpoint":                  cutAtWork(func(c *test) { c.arrivals, c.want = nil, 0 }),
		"sent once more before it arrived":      cutAtWork(func(c *test) { c.lostAt, c.status, c.arrivals[0].at, c.want = 24.5, 200, 24.55, 0 }),
		"cut without a planned stop":            cutAtWork(func(c *test) { c.noStop, c.want = true, 0 }),
		"cut before SIGTERM":                    cutAtWork(func(c *test) { c.sent, c.cut, c.arrivals[0].at, c.want = 19, 19.9, 19.1, 0 }),
		"sent after the exit":                   cutAtWork(func(c *test) { c.sent, c.cut, c.arrivals[0].at, c.want = 25.5, 25.9, 25.6, 0 }),
		"its caller's time was up":              cutAtWork(func(c *test) { c.err, c.want = timeout, 0 }),
		"its caller cancelled it":               cutAtWork(func(c *test) { c.err, c.want = context.Canceled, 0 }),
		"the node was disrupted just before":    cutAtWork(func(c *test) { c.disruptions, c.want = during("node-1", 20, 21.6), 0 }),
		"the node was disrupted meanwhile":      cutAtWork(func(c *test) { c.disruptions, c.want = during("node-1", 24.6, 30), 0 }),
		"its endpoint was disrupted":            cutAtWork(func(c *test) { c.disruptions, c.want = during("i-2", 24.6, 24.7), 0 }),
		"sent early, at work in the last sixth": cutAtWork(func(c *test) { c.sent, c.cut, c.arrivals[0].at, c.want = 22.9, 25.1, 23, 0 }),
		"sent early, ended in the last sixth": cutAtWork(func(c *test) {
			c.sent, c.cut, c.arrivals[0], c.want = 22.9, 25.1, endpoint{instance: "i-2", at: 23, ended: 25.05}, 0
		}),
		"crossed the end of the connection": readOnly(func(c *test) { c.sent, c.firstInLine, c.want = 24.65, 24.65, 0 }),
		"first in line for a moment":        readOnly(func(c *test) { c.firstInLine, c.want = 24.7, 0 }),
		"behind a closing answer":           readOnly(func(c *test) { c.firstInLine, c.want = 0, 0 }),
		"reset before it was read":          readOnly(func(c *test) { c.err, c.want = reset, 0 }),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRecord()
			s := Sent{ID: "x", Node: "node-1", At: second(test.sent), Answered: second(test.cut)}
			s.Answer = standin.Answer{Status: test.status, Err: test.err}
			if test.lostAt > 0 {
				s.Answer.LostAt = second(test.lostAt)
			}
			if test.firstInLine > 0 {
				s.FirstInLine = second(test.firstInLine)
			}
			r.AddRequest(s)
			for _, e := range test.arrivals {
				r.AddArrival(standin.Arrival{Request: "x", Instance: e.instance, At: second(e.at)})
				if e.ended > 0 {
					r.AddRunEnd(standin.Arrival{Request: "x", Instance: e.instance, At: second(e.ended)})
				}
			}
			for name, d := range test.disruptions {
				r.disruptions[name] = []span{d}
			}
			if !test.noStop {
				r.stops["node-1"] = []span{{from: second(20), to: second(max(24.8, min(test.cut, 25.1)))}}
			}
			assert.Equal(t, len(r.cutByStop(terms)), test.want, "%v", r.cutByStop(terms))
		})
	}
}
