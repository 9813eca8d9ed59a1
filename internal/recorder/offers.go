package recorder

// The offers of a request that may run once only are written in one line, so that the line limit leaves out whole histories.
//
// Example: {"msg":"request offered","request":"c3-17","offers":[{"endpoint":"i-1","at":"b","outcome":"declined",...},
// {"endpoint":"i-2","at":"c","outcome":"answered","status":200,...}]}

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Offer is one offer of a request to an endpoint.
type Offer struct {
	Endpoint identifier.Endpoint
	// Node is the node beside the endpoint, Connection the local address of that node's connection to it, empty if unknown.
	Node       identifier.Node
	Connection string
	Outcome    string
	// Status is that of the endpoint's answer, 0 for none.
	Status int
	// InDoubt is set if the request may have run and there is no answer.
	InDoubt bool
	// Sent is the time from the request's arrival to the offer, Took how long the offer lasted.
	Sent, Took clock.Duration
}

// OfferedRequest is a request that may run once only, with its offers in order.
type OfferedRequest struct {
	Request string
	Route   string
	Offers  []Offer
	After   clock.Duration
}

// wireOffer is an offer in a log line.
type wireOffer struct {
	Endpoint   string `json:"endpoint"`
	At         string `json:"at"`
	Connection string `json:"connection"`
	Outcome    string `json:"outcome"`
	Status     int    `json:"status"`
	SentMs     int64  `json:"sentMs"`
	TookMs     int64  `json:"tookMs"`
}

// Offered records a request that has ended after more than one offer, or after one that is in doubt.
func (r *Recorder) Offered(o OfferedRequest) {
	last := o.Offers[len(o.Offers)-1]
	kind, maxPerSecond := "offeredAgain", offersPerSecond
	if len(o.Offers) == 1 {
		kind, maxPerSecond = "offeredInDoubt", linesPerSecond
	} else {
		r.meters.increment("offered_again", "outcome", last.Outcome)
	}
	ok, leftOut := r.allow(kind, maxPerSecond)
	if !ok {
		return
	}
	offers := make([]wireOffer, 0, len(o.Offers))
	for _, each := range o.Offers {
		offers = append(offers, wireOffer{
			Endpoint:   string(each.Endpoint),
			At:         string(each.Node),
			Connection: each.Connection,
			Outcome:    each.Outcome,
			Status:     each.Status,
			SentMs:     int64(each.Sent),
			TookMs:     int64(each.Took),
		})
	}
	r.logger.Warn("request offered", "request", o.Request, "route", o.Route, "offers", offers, "afterMs", int64(o.After),
		"leftOut", leftOut)
}

// DeliveryUnanswered records a request of another node that may run once only, may have run, and has no complete answer.
func (r *Recorder) DeliveryUnanswered(request string, o Offer) {
	r.meters.increment("unanswered_deliveries", "outcome", o.Outcome)
	ok, leftOut := r.allow("unansweredDelivery "+o.Outcome, linesPerSecond)
	if !ok {
		return
	}
	r.logger.Warn("delivery unanswered", "request", request, "endpoint", string(o.Endpoint), "connection", o.Connection,
		"outcome", o.Outcome, "tookMs", int64(o.Took), "leftOut", leftOut)
}
