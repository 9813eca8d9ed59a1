package relayer

// Callers and the local endpoint send their requests here. One request makes at most a few attempts, and its caller
// gets exactly one answer: the endpoint's, or one of this node's own that says whether it can have run.
//
// Example: node b turns the request away as full, node c's endpoint answers: the caller sees only that answer.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/router"
)

// ServeOutbound serves a request of a caller or of the local endpoint.
func (r *Relayer) ServeOutbound(w http.ResponseWriter, request *http.Request) {
	id := r.newID()
	if !r.wellFormed(w, request) {
		return
	}
	h := r.options.Headers
	left, _ := milliseconds(request.Header, h.TimeLeft)
	key, _ := strings.CutPrefix(request.Header.Get(h.Key), h.KeyScheme)
	path, _, _ := strings.Cut(request.RequestURI, "?")
	started := r.options.Clock.Now()
	effect := r.apply(id, conductor.RequestArrived{
		ID:     id,
		Host:   request.Host,
		Path:   path,
		Key:    key,
		Parent: r.parent(request.Header.Get(h.RequestID)),
		Left:   left,
		Boot:   r.options.Boot.Now(),
	})
	if d, draws := effect.(conductor.Draw); draws {
		effect = r.draw(request.Context(), d)
	}
	var body *replayable
	var last answer
	var err error
	for {
		switch e := effect.(type) {
		case conductor.Refuse:
			r.refuse(w, request, e, started)
			return
		case held:
			effect, err = r.wait(request.Context(), e)
			if err != nil {
				r.apply(id, conductor.RequestClosed{ID: id})
				panic(http.ErrAbortHandler)
			}
		case conductor.Send:
			if body == nil {
				body, err = newReplayable(request)
			}
			if err != nil {
				r.apply(id, conductor.RequestClosed{ID: id})
				panic(http.ErrAbortHandler)
			}
			last = r.attempt(request, e, body)
			effect = r.apply(id, conductor.AttemptEnded{
				ID:         id,
				Outcome:    last.outcome,
				Status:     last.status(),
				Headroom:   last.headroom,
				Wait:       last.wait,
				Replayable: body.untouched(),
				Member:     last.member,
			})
			r.logAttempt(request, e, last, started)
			if last.outcome == conductor.Abandoned {
				r.apply(id, conductor.RequestClosed{ID: id})
				r.abandon(w, last)
				return
			}
		case conductor.Reply:
			r.apply(id, conductor.RequestClosed{ID: id})
			r.sayIdle(request.Context(), w.Header())
			r.pass(w, last)
			return
		default:
			panic(http.ErrAbortHandler)
		}
	}
}

func (r *Relayer) parent(id string) identifier.Request {
	if r.options.Headers.Parent == nil {
		return ""
	}
	return identifier.Request(r.options.Headers.Parent(id))
}

// MayRunAhead tells whether a caller's request may be begun before those that it sent earlier on its connection are
// answered: only where running it twice does no harm, and not while the node stops, when answers end their connections.
func (r *Relayer) MayRunAhead(request *http.Request) bool {
	if r.stopping.Load() || r.options.Connections.Crowded() {
		return false
	}
	path, _, _ := strings.Cut(request.RequestURI, "?")
	idempotent := false
	r.View(func(c *conductor.Conductor, _ clock.Time) {
		if m := c.Matcher(); m != nil {
			route, ok := m.Match(request.Host, path)
			idempotent = ok && route.Kind == matcher.Idempotent
		}
	})
	return idempotent
}

// abandon ends a request whose caller has left, or whose body is longer than its length allowed to foresee.
func (r *Relayer) abandon(w http.ResponseWriter, a answer) {
	if a.tooLong == 0 {
		panic(http.ErrAbortHandler)
	}
	r.refuseLength(w, a.tooLong)
}

func (a answer) status() int {
	if a.Response == nil {
		return 0
	}
	return a.StatusCode
}

// wellFormed refuses what must not be passed on.
func (r *Relayer) wellFormed(w http.ResponseWriter, request *http.Request) bool {
	limit := int64(0)
	r.View(func(c *conductor.Conductor, _ clock.Time) {
		if m := c.Matcher(); m != nil {
			limit = m.Configuration().Limits.BodyBytes
		}
	})
	if limit > 0 && request.ContentLength > limit {
		r.refuseLength(w, limit)
		return false
	}
	if limit > 0 && request.ContentLength < 0 {
		request.Body = http.MaxBytesReader(w, request.Body, limit)
	}
	if !strings.HasPrefix(request.RequestURI, "/") {
		http.Error(w, "want a path", http.StatusBadRequest)
		return false
	}
	return true
}

// attempt makes one attempt, at the local endpoint or by way of another node.
func (r *Relayer) attempt(request *http.Request, s conductor.Send, body *replayable) answer {
	left := s.Deadline.Sub(r.options.Clock.Now())
	parent, stop := request.Context(), func() {}
	if !s.Local && s.Idempotent {
		parent, stop = r.watchAbort(parent, s.ID)
	}
	ctx, cancelTime := context.WithTimeout(parent, left.Std())
	cancel := func() {
		cancelTime()
		stop()
	}
	out := outgoing(request, endToEnd(request.Header))
	out.Body, out.Length = body.reader()
	h := r.options.Headers
	delete(out.Header, h.Key)
	delete(out.Header, h.Team)
	delete(out.Header, h.Target)
	if s.Team != "" {
		out.Header[h.Team] = []string{string(s.Team)}
	}
	out.Header[h.Origin] = []string{string(r.options.Service)}
	var a answer
	if s.Local {
		a = r.deliver(ctx, parcel{
			request:  out,
			id:       request.Header.Get(h.RequestID),
			endpoint: s.Endpoint,
			rank:     s.Rank,
			deadline: s.Deadline,
			patience: s.Patience,
			due:      s.Due,
			nested:   s.Nested,
			again:    s.Again,
			unpaid:   unpaid(s),
		})
		r.View(func(c *conductor.Conductor, _ clock.Time) { a.headroom, a.wait = c.Headroom(), c.QueueDelay() })
	} else {
		a = r.ask(ctx, s, out, body)
	}
	return r.readSmall(ctx, cancel, a)
}

// ask sends a request to the node beside another endpoint.
func (r *Relayer) ask(ctx context.Context, s conductor.Send, out *requester.Request, body *replayable) answer {
	now := r.options.Clock.Now()
	out.Header[callField] = []string{handover{
		left:     s.Deadline.Sub(now),
		patience: s.Patience,
		due:      s.Due.Sub(now),
		rank:     s.Rank,
		nested:   s.Nested,
		again:    s.Again,
		endpoint: s.Endpoint,
		unpaid:   unpaid(s),
	}.String()}
	delete(out.Header, r.options.Headers.TimeLeft)
	// A team that is over its rate is mostly refused there as well, and a body would cross the domains for nothing.
	out.Hesitant = body.streamed() || s.Unpaid && s.Crossing != router.Inside
	count := r.countCrossing(s, out)
	asked := r.options.Boot.Now()
	response, err := r.peers.Do(ctx, s.Address, out)
	if err != nil {
		count()
		return r.peerFailed(ctx, s, err)
	}
	told := readCondition(response.Header)
	r.learnProof(told.proof, asked)
	if name := response.Header.Get(outcomeField); name != "" {
		response.Close(drain(response))
		count()
		a := failed(conductor.ParseOutcome(name), "")
		a.headroom, a.wait, a.member = told.headroom, told.wait, r.readMember(response.Header)
		return a
	}
	if id, ok := out.Header[r.options.Headers.RequestID]; ok {
		response.Header[r.options.Headers.RequestID] = id
	}
	return answer{
		Response: response,
		outcome:  conductor.Answered,
		headroom: told.headroom,
		wait:     told.wait,
		finish: func(whole bool) {
			response.Close(whole)
			count()
		},
	}
}

func unpaid(s conductor.Send) identifier.Team {
	if s.Unpaid {
		return s.Team
	}
	return ""
}

func (r *Relayer) peerFailed(ctx context.Context, s conductor.Send, err error) answer {
	var dial requester.DialError
	var body requester.BodyError
	switch {
	case lost(ctx) && errors.As(err, &dial):
		return failed(conductor.Unreached, conductor.EndpointDown)
	case lost(ctx):
		return failed(conductor.Broken, conductor.InDoubt)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failed(conductor.Late, conductor.Deadline)
	case ctx.Err() != nil:
		return failed(conductor.Abandoned, conductor.InDoubt)
	case errors.As(err, &body):
		return unread(err)
	case errors.As(err, &dial):
		r.options.Recorder.Dependency("node "+string(s.Node), err)
		return failed(conductor.Unreached, conductor.EndpointDown)
	default:
		r.peers.Forget(s.Address)
		return failed(conductor.Broken, conductor.InDoubt)
	}
}

// smallAnswer is the largest answer that is read whole before any of it is passed on, so that one that breaks off can
// be asked for again. Ordinary answers have 400 to 6,000 bytes.
const smallAnswer = 64 << 10

func (r *Relayer) readSmall(ctx context.Context, cancel func(), a answer) answer {
	if a.outcome != conductor.Answered {
		cancel()
		return a
	}
	if a.ContentLength > smallAnswer {
		return cancelledAtEnd(a, cancel)
	}
	body, err := readBody(a.Response)
	if err == nil && len(body) > smallAnswer {
		a.Body = rest{Reader: io.MultiReader(bytes.NewReader(body), a.Body), Closer: a.Body}
		return cancelledAtEnd(a, cancel)
	}
	defer cancel()
	a.finish(err == nil)
	if err == nil {
		a.body, a.read = body, true
		return a
	}
	switch {
	case lost(ctx):
		return failed(conductor.Broken, conductor.InDoubt)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failed(conductor.Late, conductor.Deadline)
	case ctx.Err() != nil:
		return failed(conductor.Abandoned, conductor.InDoubt)
	default:
		return failed(conductor.Broken, conductor.InDoubt)
	}
}

// rest is a body of which a part was read already.
type rest struct {
	io.Reader
	io.Closer
}

// readBody reads a body to its end, or a little more than what counts as small of one whose length is not known.
func readBody(response *requester.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, smallAnswer+1))
	if err == nil && response.ContentLength > int64(len(body)) && response.Request.Method != http.MethodHead {
		return nil, io.ErrUnexpectedEOF
	}
	return body, err
}

// cancelledAtEnd leaves an answer's context open until its body has been passed on.
func cancelledAtEnd(a answer, cancel func()) answer {
	finish := a.finish
	a.finish = func(whole bool) {
		finish(whole)
		cancel()
	}
	return a
}

func (r *Relayer) refuse(w http.ResponseWriter, request *http.Request, e conductor.Refuse, started clock.Time) {
	h := w.Header()
	if id := request.Header.Get(r.options.Headers.RequestID); id != "" {
		h[r.options.Headers.RequestID] = []string{id}
	}
	if e.RetryAfter > 0 && request.Header.Get(r.options.Headers.Key) != "" && pipeliner.MayClose(request.Context()) {
		// The caller comes back on a new connection and would keep this one unused beside it: in a surge a node held 1,500
		// connections with 100 requests under way. Endpoints, whose nested calls have no key, do not come back.
		h["Connection"] = []string{"close"}
	}
	if e.RetryAfter > 0 {
		seconds := float64(e.RetryAfter) / float64(clock.Second)
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain")
	r.sayIdle(request.Context(), h)
	w.WriteHeader(e.Status)
	_, _ = io.WriteString(w, string(e.Reason)+"\n")
	r.options.Recorder.Refused(recorder.Refusal{
		Request: request.Header.Get(r.options.Headers.RequestID),
		Status:  e.Status,
		Reason:  string(e.Reason),
		After:   r.options.Clock.Now().Sub(started),
		Path:    request.URL.Path,
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
		Repeat:   s.Repeat,
		Outcome:  a.outcome.String(),
		Status:   a.status(),
		Took:     r.options.Clock.Now().Sub(started),
	})
}
