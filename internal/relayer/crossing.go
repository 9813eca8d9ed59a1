package relayer

// Bytes between failure domains cost their operators more than those within one, and they delay calls. Each byte that
// leaves the domain for a request is counted by what it is for and why it was sent elsewhere.
//
// Example: a nested call goes elsewhere since the endpoint here is full: 410 bytes sent, 690 received.

import (
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// countCrossing has the bytes of an attempt counted if it leaves the failure domain; the result is called at its end.
func (r *Relayer) countCrossing(s conductor.Send, out *requester.Request) func() {
	if s.Crossing == router.Inside {
		return func() {}
	}
	return r.countBytes(out, crossingCause(s), string(s.Crossing))
}

// countTokenRequest is countCrossing for a question for a token.
func (r *Relayer) countTokenRequest(d conductor.Draw, tokenRequest *requester.Request) func() {
	if !d.Crosses {
		return func() {}
	}
	return r.countBytes(tokenRequest, "token", "bucketElsewhere")
}

func (r *Relayer) countBytes(out *requester.Request, cause, reason string) func() {
	out.Traffic = &requester.Traffic{}
	return func() {
		r.options.Recorder.Crossed(recorder.Crossing{
			Cause:    cause,
			Reason:   reason,
			Sent:     out.Traffic.Sent.Load(),
			Received: out.Traffic.Received.Load(),
		})
	}
}

func crossingCause(s conductor.Send) string {
	switch {
	case s.Retry:
		return "repeat"
	case s.Nested:
		return "nested"
	default:
		return "root"
	}
}
