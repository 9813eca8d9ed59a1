package relayer

// A refusal is due at once, also while the body of its request is still arriving: the HTTP server would first read the rest of the
// body, which takes an upload over a slow line longer than its route allows. What is left of the body is read after the refusal, so that
// a caller that reads only when it has sent everything gets it too.
//
// Example: an upload of 4 s on a route with a timeout of 1 s is answered 504 after 1 s, while its caller sends on.

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// incoming is a request from a caller or from the local endpoint.
type incoming struct {
	request *http.Request
	started clock.Time
	// upload is the request's body, nil for none; left is how long the caller waits, 0 if it did not say.
	upload *upload
	left   clock.Duration
}

// defaultBodyWait is how long the rest of a body is read after a refusal if its caller does not say how long it waits.
const defaultBodyWait = 5 * clock.Second

// wallTime returns a time of the node's clock as a time of the process's.
func (r *Relayer) wallTime(t clock.Time) time.Time {
	return time.Now().Add(t.Sub(r.options.Clock.Now()).Std())
}

// writeRefusal writes a refusal, and reads what is left of the request's body after it.
func (r *Relayer) writeRefusal(w http.ResponseWriter, in incoming, e conductor.Refuse) {
	text := string(e.Reason) + "\n"
	c := http.NewResponseController(w)
	// A caller that awaits 100 Continue sends no body to a refusal.
	unread := in.upload != nil && !in.upload.ended.Load() && in.request.Header.Get("Expect") == ""
	if !unread || c.EnableFullDuplex() != nil {
		w.WriteHeader(e.Status)
		_, _ = io.WriteString(w, text)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(e.Status)
	_, err := io.WriteString(w, text)
	if err == nil {
		err = c.Flush()
	}
	if err == nil {
		wait := in.left
		if wait == 0 {
			wait = defaultBodyWait
		}
		err = in.upload.finish(c, r.wallTime(in.started.Add(wait)))
	}
	if err != nil {
		// The connection then delivers the refusal before it ends.
		_ = pipeliner.MayClose(in.request.Context())
	}
}

// bodyNotRead ends a request whose small body could not be read: its time was up, there was no memory for it, or its caller has left.
func (r *Relayer) bodyNotRead(w http.ResponseWriter, in incoming, id conductor.CallID, err error) {
	r.apply(id, conductor.RequestClosed{ID: id})
	var exhausted reserver.ExhaustedError
	if errors.As(err, &exhausted) {
		r.refuse(w, in, conductor.Refuse{
			ID: id, Status: http.StatusServiceUnavailable, Reason: conductor.NoMemory, RetryAfter: memoryRetryAfter,
		})
		return
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		abort(w)
	}
	in.upload = nil
	if pipeliner.MayClose(in.request.Context()) {
		w.Header()["Connection"] = []string{"close"}
	}
	r.refuse(w, in, conductor.Refuse{
		ID: id, Status: http.StatusServiceUnavailable, Reason: conductor.Deadline, RetryAfter: bodyRetryAfter,
	})
}

// memoryRetryAfter is when a request may come back for whose body there was no memory; others hold theirs for as long.
const memoryRetryAfter = 500 * clock.Millisecond

// bodyRetryAfter lets a caller send its body again soon: nothing has run.
const bodyRetryAfter = 150 * clock.Millisecond
