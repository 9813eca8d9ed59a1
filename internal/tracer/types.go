package tracer

// A request's own lines carry its id, but the lines that explain its outcome do not: the load of the node that refused
// it, the nested calls that failed while it ran, or the loss of the store a second before.
//
// Example: a line "attempt ended" with status 500 at node b, and a nested call at b in that time with outcome "full".

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Line is one line of a node's log.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	Request string

	// Status, Reason and After are set on a refusal, After also on a request that was cut off.
	Status int
	Reason string
	After  time.Duration

	// Endpoint, At, Nested, Outcome and Took are set on an attempt; At is the node beside the endpoint.
	Endpoint string
	At       string
	Nested   bool
	Outcome  string
	Took     time.Duration

	// Running, Queued, Limit and QueueDelay are the local endpoint's load; Excesses holds the excess load of each service.
	Running, Queued, Limit int
	QueueDelay             time.Duration
	Excesses               map[string]float64

	// Connection is set on an unanswered delivery and a dropped answer. Taken is the status of the answer that was returned for
	// the request of a dropped one, 0 for none.
	Connection string
	Taken      int
	// Offers are set on a request that was offered to endpoints.
	Offers []Offer

	// Detail is further text to show, such as the name of a dependency and its error.
	Detail string
	// LeftOut is the number of lines of the same kind that the node left out before this one.
	LeftOut int
}

// Offer is one offer of a request to an endpoint; At is the node beside it, Connection that node's connection to it.
type Offer struct {
	Endpoint, At, Connection string
	Outcome                  string
	Status                   int
	Sent, Took               time.Duration
}

// String describes the offer in words.
func (o Offer) String() string {
	return fmt.Sprintf("after %s to %s beside %s on %q: %s, status %d, after %s", o.Sent, o.Endpoint, o.At, o.Connection, o.Outcome,
		o.Status, o.Took)
}

// String describes the line in words, without its time and node.
func (l Line) String() string {
	switch l.Message {
	case cutMessage:
		return fmt.Sprintf("answer cut off by the end of the node, after %s", l.After)
	case "request refused":
		return fmt.Sprintf("answered %d, %s, after %s", l.Status, l.Reason, l.After)
	case "attempt ended":
		kind := "attempt"
		if l.Nested {
			kind = "nested call"
		}
		return fmt.Sprintf("%s at endpoint %s beside %s: %s, status %d, after %s",
			kind, l.Endpoint, l.At, l.Outcome, l.Status, l.Took)
	case offeredMessage:
		var offers []string
		for _, o := range l.Offers {
			offers = append(offers, o.String())
		}
		return fmt.Sprintf("offered %d times: %s", len(l.Offers), strings.Join(offers, "; "))
	case unansweredMessage:
		return fmt.Sprintf("delivered to %s on %q: %s after %s", l.Endpoint, l.Connection, l.Outcome, l.Took)
	case droppedMessage:
		return fmt.Sprintf("answer %d dropped on %q, %s; %d was returned there", l.Status, l.Connection, l.Detail, l.Taken)
	case "load":
		load := fmt.Sprintf("%d of %d running, %d queued for %s", l.Running, l.Limit, l.Queued, l.QueueDelay)
		if overloaded := l.overloadedServices(); overloaded != "" {
			load += ", part too much: " + overloaded
		}
		return load
	case "":
		return l.Detail
	}
	if l.Detail == "" {
		return l.Message
	}
	return l.Message + ": " + l.Detail
}

// overloadedServices lists the services that the node considers overloaded, with their excess load.
func (l Line) overloadedServices() string {
	var names []string
	for service, excess := range l.Excesses {
		if excess > 0 {
			names = append(names, fmt.Sprintf("%s %.2f", service, excess))
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// failed reports whether the line is a refusal or a failed attempt.
func (l Line) failed() bool {
	return l.Reason != "" || l.Outcome != "" && (l.Outcome != outcomeAnswered || l.Status >= firstServerErrorStatus)
}

const (
	outcomeAnswered = "answered"
	// cutMessage is the message of the line of a request that its node cut off.
	cutMessage = "request cut"
	// The messages of lines that name the connections of a request.
	offeredMessage, unansweredMessage, droppedMessage = "request offered", "delivery unanswered", "answer dropped"
	// firstServerErrorStatus is the lowest HTTP status of a server error.
	firstServerErrorStatus = 500
)

// Trace is the lines of the logs that relate to one request, and the cause derived from them.
type Trace struct {
	Request string
	// Lines are the request's own lines in order of time.
	Lines []Line
	// Nested are failed nested calls at the node of the last attempt's endpoint, made while it ran the request.
	Nested []Line
	// Loads are the newest load lines at the request's end, one for each node that took part.
	Loads []Line
	// Events are the other lines of these nodes within a few seconds of the request's end.
	Events []Line
	// Cause is one sentence that explains the outcome.
	Cause string
}

// ErrNoLines reports that the logs hold no line of a node.
var ErrNoLines = errors.New("the logs hold no line of a node")

// UnknownRequestError reports that no line carries the request's id.
type UnknownRequestError struct {
	Request string
	Lines   int
}

// Error explains why a request may be missing from the logs.
func (e UnknownRequestError) Error() string {
	return fmt.Sprintf("request %q: none of %d lines carries it; a node writes at most 20 failures of a kind and one "+
		"success a second", e.Request, e.Lines)
}
