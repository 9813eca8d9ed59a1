package relayer

// A request whose connection broke, or that gets no answer, may have ended the endpoint that ran it. A refused connection tells the
// endpoint's end from a broken connection, and one that is not accepted tells it from a slow endpoint: the kernel accepts
// connections to a process that lives. All requests that break off at the same time share one such check, and their callers learn of
// the break only when the other nodes know the requests that ran.
//
// Example: 12 requests break off, one connection is opened and refused: one line names the 12 requests.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/quarantiner"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// endCheckInterval is how long an endpoint that has ended is not checked again: requests that break off together are noticed some milliseconds apart.
const endCheckInterval = 20 * clock.Millisecond

// silenceCheckLead is how long before its deadline a request without an answer makes its node check the endpoint: the time to open a
// connection, and to tell the other nodes.
const silenceCheckLead = endpointDialTimeout + 100*clock.Millisecond

// maxEndpointDials is how often a check tries to open a connection within endpointDialTimeout.
const maxEndpointDials = 2

// endChecks lets requests that break off together share a check.
type endChecks struct {
	mu sync.Mutex
	// ended is set if the last check found that the endpoint had ended, at the given time.
	ended   bool
	checked clock.Time
	running chan struct{}
}

// begin returns nil if the caller has to make the check and call end, or else what to wait for; closed if a check has just ended.
func (e *endChecks) begin(now clock.Time) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running != nil {
		return e.running
	}
	if e.ended && now.Sub(e.checked) <= endCheckInterval {
		done := make(chan struct{})
		close(done)
		return done
	}
	e.running = make(chan struct{})
	return nil
}

func (e *endChecks) end(ended bool, now clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checked, e.ended = now, ended
	close(e.running)
	e.running = nil
}

// checkEnd finds out whether the local endpoint has ended during a delivery, and if so reports the requests that it ran.
func (r *Relayer) checkEnd(delivery conductor.CallID, endpoint identifier.Endpoint) {
	if wait := r.endChecks.begin(r.options.Clock.Now()); wait != nil {
		<-wait
		return
	}
	ended := false
	defer func() { r.endChecks.end(ended, r.options.Clock.Now()) }()
	connection, err := r.dialEndpoint()
	if err == nil {
		_ = connection.Close()
		r.ApplyEvent(conductor.EndpointAlive{})
		return
	}
	if ended = errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err) && r.isSilent(delivery); !ended {
		return
	}
	id := r.newID()
	report, ok := r.apply(id, conductor.EndpointEnded{ID: id, Endpoint: endpoint}).(conductor.ReportEnd)
	if !ok {
		return
	}
	r.options.Recorder.EndpointEnded(endedEndpoint(report))
	if r.options.ReportEnd != nil && len(report.End.Fingerprints) > 0 {
		r.options.ReportEnd(report.End)
	}
}

// dialEndpoint opens a connection to the local endpoint, again if that timed out: the node itself may have stood still.
func (r *Relayer) dialEndpoint() (connection net.Conn, err error) {
	for range maxEndpointDials {
		connection, err = requester.Dial(context.Background(), r.options.EndpointAddress, (endpointDialTimeout / maxEndpointDials).Std())
		if err == nil || !isTimeout(err) {
			break
		}
	}
	return connection, err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (r *Relayer) isSilent(delivery conductor.CallID) (silent bool) {
	r.View(func(c *conductor.Conductor, now clock.Time) { silent = c.SilentDuring(delivery, now) })
	return silent
}

// checkIfSilent checks the local endpoint shortly before a delivery's deadline if it gives no sign of life. If it has ended, all nodes
// know when the caller, who gets no answer, may come again; if not, the request is not to blame for what happens later. The
// returned function calls the check off.
func (r *Relayer) checkIfSilent(delivery conductor.CallID, endpoint identifier.Endpoint, left clock.Duration) (stop func() bool) {
	return time.AfterFunc((left - min(silenceCheckLead, left/2)).Std(), func() {
		if r.isSilent(delivery) {
			r.checkEnd(delivery, endpoint)
		}
	}).Stop
}

func endedEndpoint(e conductor.ReportEnd) recorder.EndedEndpoint {
	line := recorder.EndedEndpoint{Endpoint: e.End.Endpoint, Innocent: e.Innocent}
	for _, q := range e.Requests {
		line.Requests = append(line.Requests, recorder.EndedRequest{
			Request: string(q.Request), Fingerprints: formatFingerprints(q.Fingerprints),
		})
	}
	return line
}

// verdict returns what is known of the ends of endpoints under a request.
func (r *Relayer) verdict(fingerprints []identifier.Fingerprint) (v quarantiner.Verdict) {
	r.View(func(c *conductor.Conductor, now clock.Time) { v = c.Verdict(fingerprints, now) })
	return v
}

// suspicion is what was known of a request when it was sent.
type suspicion struct {
	fingerprints []identifier.Fingerprint
	ends         int
	sent         clock.Time
}

// logSuspect logs an offer of a request under which endpoints had ended before.
func (r *Relayer) logSuspect(request *http.Request, s conductor.Send, a answer, known suspicion) {
	if known.ends == 0 || a.outcome.NotRun() && a.outcome != conductor.Declined {
		return
	}
	r.options.Recorder.SuspectOffered(recorder.SuspectOffer{
		Request:      request.Header.Get(r.options.Headers.RequestID),
		Fingerprints: formatFingerprints(known.fingerprints),
		Ends:         known.ends,
		Offer: recorder.Offer{
			Endpoint: s.Endpoint,
			Node:     s.Node,
			Outcome:  a.outcome.String(),
			Status:   a.status(),
			Took:     r.options.Clock.Now().Sub(known.sent),
		},
	})
}
