package relayer

// Callers and the local endpoint send their requests here. A request is attempted at most a few times, and its caller
// gets exactly one answer: the endpoint's, or this node's refusal, which states whether the request may have run.
//
// Example: node b turns the request away as full, and the endpoint of node c answers: the caller gets only that answer.

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
)

// ServeOutbound serves a request from a caller or from the local endpoint.
func (r *Relayer) ServeOutbound(w http.ResponseWriter, request *http.Request) {
	id := r.newID()
	started := r.options.Clock.Now()
	if !r.validate(w, request) {
		return
	}
	h := r.options.Headers
	left, _ := milliseconds(request.Header, h.TimeLeft)
	if waited := r.options.Clock.Now().Sub(started); left > 0 {
		left = max(1, left-waited)
	}
	key, _ := strings.CutPrefix(request.Header.Get(h.Key), h.KeyScheme)
	path := pathOf(request.RequestURI)
	effect := r.apply(id, conductor.RequestArrived{
		ID:      id,
		Request: identifier.Request(request.Header.Get(h.RequestID)),
		Host:    request.Host,
		Path:    path,
		Key:     key,
		Parent:  r.parent(request.Header.Get(h.RequestID)),
		Left:    left,
		Boot:    r.options.Boot.Now(),
	})
	if d, draws := effect.(conductor.Draw); draws {
		effect = r.draw(request.Context(), d)
	}
	in := incoming{request: request, started: started, upload: newUpload(request), left: left}
	var body *replayable
	var last answer
	defer func() {
		last.room.release()
		if body != nil {
			body.room.release()
		}
	}()
	var fingerprints []identifier.Fingerprint
	var err error
	offers := offered{relayer: r, request: request, started: started}
	defer offers.log()
	for {
		switch e := effect.(type) {
		case conductor.Refuse:
			r.refuse(w, in, e)
			return
		case held:
			effect, err = r.wait(request.Context(), e)
			if err != nil {
				r.endUnanswered(w, in, id, body != nil)
				return
			}
		case conductor.Send:
			if body == nil {
				body, err = r.newReplayable(w, request, in.upload, r.wallTime(e.Deadline))
			}
			if err != nil {
				r.bodyNotRead(w, in, id, err)
				return
			}
			if fingerprints == nil {
				fingerprints = r.fingerprints(request, e, body)
			}
			verdict := r.verdict(fingerprints)
			if verdict.Quarantined {
				effect = r.apply(id, conductor.RequestRecognized{ID: id, Fingerprints: fingerprints})
				continue
			}
			sent := r.options.Clock.Now()
			last.room.release()
			last = r.attempt(request, e, body, offers.any(), fingerprints)
			offers.add(e, last, sent)
			effect = r.apply(id, conductor.AttemptEnded{
				ID:         id,
				Outcome:    last.outcome,
				Status:     last.status(),
				Headroom:   last.headroom,
				Wait:       last.queueDelay,
				Notice:     last.notice,
				Replayable: body.canResend(),
				Member:     last.member,

				Fingerprints: fingerprints,
			})
			r.logSuspect(request, e, last, suspicion{fingerprints: fingerprints, ends: verdict.Ends, sent: sent})
			r.logAttempt(request, e, last, started)
			if last.exceededLimit > 0 {
				r.apply(id, conductor.RequestClosed{ID: id})
				r.refuseTooLarge(w, last.exceededLimit)
				return
			}
			if last.outcome == conductor.Abandoned || last.outcome != conductor.Answered && endedByStop(request.Context()) {
				r.endUnanswered(w, in, id, true)
				return
			}
		case conductor.Reply:
			r.apply(id, conductor.RequestClosed{ID: id})
			r.announceIdleTimeout(request.Context(), w.Header())
			if err := r.writeAnswer(request.Context(), w, last); err != nil {
				r.logCut(request, started)
				abort(w)
			}
			return
		default:
			abort(w)
		}
	}
}

// endUnanswered ends a request whose context has ended: it is refused if its node ends, and aborted if its caller has
// disconnected.
func (r *Relayer) endUnanswered(w http.ResponseWriter, in incoming, id conductor.CallID, sent bool) {
	r.apply(id, conductor.RequestClosed{ID: id})
	if !endedByStop(in.request.Context()) {
		abort(w)
	}
	e := conductor.Refuse{ID: id, Status: http.StatusServiceUnavailable, Reason: conductor.NodeStopping}
	if sent {
		e.Status = http.StatusBadGateway
	}
	r.refuse(w, in, e)
}

func (r *Relayer) parent(id string) identifier.Request {
	if r.options.Headers.Parent == nil {
		return ""
	}
	return identifier.Request(r.options.Headers.Parent(id))
}

// MayPipeline reports whether a pipelined request may start before earlier requests on its connection are answered: only if
// its route is idempotent, and not while answers close their connections because the node stops or has too many of them.
func (r *Relayer) MayPipeline(request *http.Request) bool {
	if r.stopping.Load() || r.options.Connections.Crowded() {
		return false
	}
	path := pathOf(request.RequestURI)
	idempotent := false
	r.View(func(c *conductor.Conductor, _ clock.Time) {
		if m := c.Matcher(); m != nil {
			route, ok := m.Match(request.Host, path)
			idempotent = ok && route.Kind == matcher.Idempotent
		}
	})
	return idempotent
}

func (a answer) status() int {
	if a.Response == nil {
		return 0
	}
	return a.StatusCode
}

// validate answers a request that must not be forwarded with an error, and reports whether the request is valid.
func (r *Relayer) validate(w http.ResponseWriter, request *http.Request) bool {
	limit := r.confirmedBodyLimit(request.Context())
	if limit > 0 && request.ContentLength > limit {
		r.refuseTooLarge(w, limit)
		return false
	}
	if limit > 0 && request.ContentLength < 0 {
		// Given w, the reader would change the header of an answer that is being written.
		request.Body = http.MaxBytesReader(nil, request.Body, limit)
	}
	if !strings.HasPrefix(request.RequestURI, "/") {
		http.Error(w, "want a path", http.StatusBadRequest)
		return false
	}
	return true
}

func (r *Relayer) refuse(w http.ResponseWriter, in incoming, e conductor.Refuse) {
	request := in.request
	h := w.Header()
	if id := request.Header.Get(r.options.Headers.RequestID); id != "" {
		h[r.options.Headers.RequestID] = []string{id}
	}
	if e.RetryAfter > 0 && request.Header.Get(r.options.Headers.Key) != "" && pipeliner.MayClose(request.Context()) {
		// Callers retry on a new connection and would keep this one idle beside it, so a surge would use up the node's file
		// descriptors. Endpoints, whose nested calls have no key, do not retry this way.
		h["Connection"] = []string{"close"}
	}
	if e.RetryAfter > 0 {
		seconds := float64(e.RetryAfter) / float64(clock.Second)
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain")
	r.announceIdleTimeout(request.Context(), h)
	r.writeRefusal(w, in, e)
	r.options.Recorder.Refused(recorder.Refusal{
		Request: request.Header.Get(r.options.Headers.RequestID),
		Status:  e.Status,
		Reason:  string(e.Reason),
		After:   r.options.Clock.Now().Sub(in.started),
		Path:    request.URL.Path,
		Basis:   (*recorder.Basis)(e.Basis),
	})
}

// logCut logs a request whose answer breaks off because the node ends.
func (r *Relayer) logCut(request *http.Request, started clock.Time) {
	if !endedByStop(request.Context()) {
		return
	}
	r.options.Recorder.WasCut(recorder.Cut{
		Request: request.Header.Get(r.options.Headers.RequestID),
		Path:    request.URL.Path,
		After:   r.options.Clock.Now().Sub(started),
	})
}

func (r *Relayer) logAttempt(request *http.Request, s conductor.Send, a answer, started clock.Time) {
	r.options.Recorder.Attempted(recorder.Attempt{
		Request:  request.Header.Get(r.options.Headers.RequestID),
		Route:    s.Route,
		Version:  s.Version,
		Endpoint: s.Endpoint,
		Node:     s.Node,
		Nested:   s.Nested,
		Retry:    s.Retry,
		Outcome:  a.outcome.String(),
		Status:   a.status(),
		Took:     r.options.Clock.Now().Sub(started),
	})
}
