package relayer

// Other nodes send requests for the local endpoint here. If the endpoint gave no answer, this node answers with the
// outcome in a header field between nodes; otherwise the endpoint's answer is forwarded unchanged.
//
// Example: the endpoint has just left: 503 with Jackdaw-Outcome: moved, and the sending node picks another endpoint.

import (
	"context"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/pipeliner"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// ServeInbound serves a request that another node sent.
func (r *Relayer) ServeInbound(w http.ResponseWriter, request *http.Request) {
	received, err := parseHandover(request.Header.Get(callField))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fingerprints, err := parseFingerprints(request.Header.Get(fingerprintsField))
	if err != nil {
		r.options.Recorder.Dependency("node", err)
	}
	parent, u := request.Context(), (*upload)(nil)
	if isStreamed(request) {
		u = &upload{Reader: request.Body}
		detached, stop := u.context(parent)
		defer stop()
		parent = detached
	}
	ctx, cancel := context.WithTimeout(parent, received.left.Std())
	defer cancel()
	now := r.options.Clock.Now()
	d := delivery{
		id:             request.Header.Get(r.options.Headers.RequestID),
		endpoint:       received.endpoint,
		rank:           received.rank,
		deadline:       now.Add(received.left),
		queueTimeout:   received.queueTimeout,
		due:            now.Add(received.due),
		nested:         received.nested,
		arrivalCounted: received.arrivalCounted,
		rateUnchecked:  received.rateUnchecked,
		limit:          r.readPassedLimit(request.Header),
		once:           received.once,
		offeredBefore:  received.offeredBefore,
		fingerprints:   fingerprints,
		request:        outgoing(request, endToEndFields(request.Header)),
	}
	if u != nil {
		d.request.Body = u
	}
	arrived := r.options.Clock.Now()
	a := r.deliver(ctx, d)
	r.logUnanswered(d, a, arrived)
	if a.outcome == conductor.Answered {
		a.upload, a.deadline = u, d.deadline
		a = r.delimitEarlyAnswer(ctx, a)
	}
	defer a.room.release()
	r.setState(w.Header())
	// The sending node writes its own Date.
	w.Header()["Date"] = nil
	r.announceClose(request.Context(), w.Header())
	if a.connection != "" && (d.offeredBefore || a.outcome != conductor.Answered) {
		w.Header()[connectionField] = []string{a.connection + " " + strconv.Itoa(a.rejectedWith)}
	}
	if a.outcome != conductor.Answered {
		w.Header()[outcomeField] = []string{a.outcome.String()}
		if a.outcome == conductor.Moved {
			r.setMember(w.Header())
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.dropRedundantFields(a.Header)
	if err := r.writeAnswer(request.Context(), w, a); err != nil {
		abort(w)
	}
}

// delimitEarlyAnswer reads a small early answer of unknown length, whose end the sending node would otherwise learn only with the
// end of the request's body.
func (r *Relayer) delimitEarlyAnswer(ctx context.Context, a answer) answer {
	if !a.early() || a.ContentLength >= 0 {
		return a
	}
	room, err := r.holdAnswer(a)
	if err != nil {
		return a
	}
	body, err := readBody(a.Response)
	if err != nil {
		room.release()
		a.finish(false)
		return incompleteAttempt(ctx).on(a.connection)
	}
	a.room = room
	a.putBack(body)
	return a
}

// dropRedundantFields removes the fields of an answer that the sending node already has or does not need.
func (r *Relayer) dropRedundantFields(h http.Header) {
	delete(h, "Date")
	delete(h, r.options.Headers.RequestID)
	delete(h, r.options.Headers.Load)
}

// setState reports the endpoint's headroom and queue delay and the freshness of this node's configuration.
func (r *Relayer) setState(h http.Header) {
	r.View(func(c *conductor.Conductor, now clock.Time) {
		h[stateField] = []string{peerState{headroom: c.Headroom(now), queueDelay: c.QueueDelay(now), proof: r.proof(c)}.String()}
	})
}

// setMember adds this node's member record with its present endpoint, since the sending node has an outdated one.
func (r *Relayer) setMember(h http.Header) {
	r.View(func(c *conductor.Conductor, _ clock.Time) {
		record, err := exchanger.EncodeMember(c.Self())
		if err != nil {
			r.options.Recorder.Event("member record not encoded; answer sent without it", "error", err.Error())
			return
		}
		h[memberField] = []string{base64.StdEncoding.EncodeToString(record)}
	})
}

// readMember returns the member record in an answer, nil if there is none.
func (r *Relayer) readMember(h http.Header) *exchanger.Member {
	value := h.Get(memberField)
	if value == "" {
		return nil
	}
	record, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		r.options.Recorder.Event("member record in answer not decoded; ignored", "error", err.Error())
		return nil
	}
	m, err := exchanger.DecodeMember(record)
	if err != nil {
		r.options.Recorder.Event("member record in answer not decoded; ignored", "error", err.Error())
		return nil
	}
	return &m
}

func outgoing(request *http.Request, header http.Header) *requester.Request {
	out := &requester.Request{
		Method: request.Method,
		URI:    request.RequestURI,
		Host:   request.Host,
		Header: header,
		Length: request.ContentLength,
	}
	if request.ContentLength != 0 {
		out.Body = request.Body
	}
	return out
}

// writeAnswer forwards an endpoint's answer. With an error the answer is truncated, or the request's body is not read to its end;
// the connection must be aborted then, so that the one does not look complete and the other is not read as the next request.
func (r *Relayer) writeAnswer(ctx context.Context, w http.ResponseWriter, a answer) error {
	header := w.Header()
	for name, values := range endToEndFields(a.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// Without this entry the HTTP server would detect a type from the body.
		header["Content-Type"] = nil
	}
	if a.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(a.ContentLength, 10)}
	}
	if a.early() {
		return r.writeEarlyAnswer(ctx, w, a)
	}
	w.WriteHeader(a.StatusCode)
	if a.bodyRead {
		// A failed write means that the caller has disconnected, which is no failure of this node.
		_, _ = w.Write(a.body)
		return nil
	}
	err := copyBody(w, a)
	a.finish(err == nil)
	return err
}

// writeEarlyAnswer forwards an answer at once, and goes on with the request's body until it has been sent or the attempt ends.
func (r *Relayer) writeEarlyAnswer(ctx context.Context, w http.ResponseWriter, a answer) error {
	c := http.NewResponseController(w)
	// Otherwise the HTTP server would read the body as well, and the endpoint would get what is left of it.
	if err := c.EnableFullDuplex(); err != nil {
		a.finish(false)
		return err
	}
	// The HTTP server marks the end of an answer without length only when the handler returns.
	closes := a.ContentLength < 0 && pipeliner.MayClose(ctx)
	if closes {
		w.Header()["Connection"] = []string{"close"}
	}
	ends := time.Now().Add(max(0, a.deadline.Sub(r.options.Clock.Now())).Std())
	err := c.SetWriteDeadline(ends)
	if err == nil {
		a.upload.answered.Store(true)
		w.WriteHeader(a.StatusCode)
		err = errors.Join(copyBody(w, a), c.Flush())
	}
	a.finish(err == nil)
	if err == nil {
		err = c.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		ends = time.Now()
	}
	err = a.upload.finish(c, ends)
	r.options.Recorder.AnsweredEarly(err == nil)
	if closes {
		return nil
	}
	if err != nil {
		// The connection then delivers the answer before it ends.
		_ = pipeliner.MayClose(ctx)
	}
	return err
}

const copyBufferBytes = 16 << 10

// copyBuffers are reused: a new buffer for each answer would be a large part of what a request allocates.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

func copyBody(w http.ResponseWriter, a answer) error {
	flush := a.ContentLength < 0 || a.ContentLength > copyBufferBytes
	controller := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if _, failed := w.Write(buffer[:n]); failed != nil {
				return failed
			}
			if flush {
				if failed := controller.Flush(); failed != nil {
					return failed
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
