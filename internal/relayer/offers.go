package relayer

// A request that may run once only is logged with all its offers if it was offered more than once, or may have run and has no
// answer: this can then be compared with what the endpoints ran.
//
// Example: i-1 beside b declined c3-17 on 127.0.0.1:40112, i-2 beside c answered it: one line with both offers.

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
)

// offered collects the offers of a request that may run once only.
type offered struct {
	relayer *Relayer
	request *http.Request
	started clock.Time
	route   string
	offers  []recorder.Offer
}

// any returns whether an endpoint may have got the request.
func (o *offered) any() bool {
	return len(o.offers) > 0
}

// add adds an attempt that was sent at a time and has ended, unless no endpoint got it.
func (o *offered) add(s conductor.Send, a answer, sent clock.Time) {
	if s.Idempotent || a.connection == "" && a.outcome.NotRun() && a.outcome != conductor.Declined {
		return
	}
	o.route = s.Route
	status := a.rejectedWith
	if status == 0 {
		status = a.status()
	}
	o.offers = append(o.offers, recorder.Offer{
		Endpoint:   s.Endpoint,
		Node:       s.Node,
		Connection: a.connection,
		Outcome:    a.outcome.String(),
		Status:     status,
		InDoubt:    mayHaveRunUnanswered(a.outcome),
		Sent:       sent.Sub(o.started),
		Took:       o.relayer.options.Clock.Now().Sub(sent),
	})
}

// log logs the request if it was offered more than once, or may have run and has no answer.
func (o *offered) log() {
	if len(o.offers) == 0 || len(o.offers) == 1 && !o.offers[0].InDoubt {
		return
	}
	o.relayer.options.Recorder.Offered(recorder.OfferedRequest{
		Request: o.request.Header.Get(o.relayer.options.Headers.RequestID),
		Route:   o.route,
		Offers:  o.offers,
		After:   o.relayer.options.Clock.Now().Sub(o.started),
	})
}

// readConnection returns the connection and the status in an answer of another node, empty and 0 if there are none.
func readConnection(h http.Header) (connection string, rejectedWith int) {
	connection, status, _ := strings.Cut(h.Get(connectionField), " ")
	// Without a number, the status is not known.
	rejectedWith, _ = strconv.Atoi(status)
	return connection, rejectedWith
}

func mayHaveRunUnanswered(o conductor.Outcome) bool {
	return o != conductor.Answered && !o.NotRun()
}

// logUnanswered logs a delivery for another node that may have run and has no answer, since that node may not learn of it.
func (r *Relayer) logUnanswered(d delivery, a answer, arrived clock.Time) {
	if !d.once || !mayHaveRunUnanswered(a.outcome) {
		return
	}
	r.options.Recorder.DeliveryUnanswered(d.id, recorder.Offer{
		Endpoint:   d.endpoint,
		Connection: a.connection,
		Outcome:    a.outcome.String(),
		Took:       r.options.Clock.Now().Sub(arrived),
	})
}
