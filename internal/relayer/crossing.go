package relayer

// Traffic between failure domains costs operators more than traffic within one, and it delays calls. The bytes that a
// request sends to and receives from another domain are counted by cause and by the reason for leaving the domain.
//
// Example: a nested call goes to another domain because the endpoint here is full: 410 bytes sent, 690 received.

import (
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// countCrossing counts the bytes of an attempt that leaves the failure domain; the caller must call the returned function
// at the end of the attempt.
func (r *Relayer) countCrossing(s conductor.Send, out *requester.Request) func() {
	if s.Crossing == router.Inside {
		return func() {}
	}
	return r.countBytes(out, crossingCause(s), string(s.Crossing))
}

// countTokenRequest is countCrossing for a request for a token.
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
