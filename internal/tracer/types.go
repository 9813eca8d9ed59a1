package tracer

// A request is known by the lines that carry its id. What explains them stands in lines that do not: the load of the node
// that turned it away, the nested calls that failed while it ran, the store that was lost a second before.
//
// Example: a line "attempt ended" with status 500 at node b, and at b in that time a nested call that was "full".

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

	// Status, Reason and After tell of a refusal.
	Status int
	Reason string
	After  time.Duration

	// Endpoint, At, Nested, Outcome and Took tell of an attempt; At is the node beside the endpoint.
	Endpoint string
	At       string
	Nested   bool
	Outcome  string
	Took     time.Duration

	// Running, Queued, Limit and QueueDelay tell of the local endpoint's load, Excesses of all services'.
	Running, Queued, Limit int
	QueueDelay             time.Duration
	Excesses               map[string]float64

	// Detail is the rest that is worth showing, such as the name of a dependency and its error.
	Detail string
	// LeftOut is how many lines of the kind the node left out before this one.
	LeftOut int
}

// String says in words what the line tells, without its time and node.
func (l Line) String() string {
	switch l.Message {
	case "request refused":
		return fmt.Sprintf("answered %d, %s, after %s", l.Status, l.Reason, l.After)
	case "attempt ended":
		kind := "attempt"
		if l.Nested {
			kind = "nested call"
		}
		return fmt.Sprintf("%s at endpoint %s beside %s: %s, status %d, after %s",
			kind, l.Endpoint, l.At, l.Outcome, l.Status, l.Took)
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

// overloadedServices names the services with too much load, as the node saw them.
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

// failed tells whether the line is of a request or an attempt that did not go well.
func (l Line) failed() bool {
	return l.Reason != "" || l.Outcome != "" && (l.Outcome != outcomeAnswered || l.Status >= firstServerErrorStatus)
}

const (
	outcomeAnswered = "answered"
	// firstServerErrorStatus is the first status that tells of a server's failure.
	firstServerErrorStatus = 500
)

// Trace is what the logs tell of one request.
type Trace struct {
	Request string
	// Lines are the request's own, in order of time.
	Lines []Line
	// Nested are failed calls of the endpoint that ran the request, made while it ran.
	Nested []Line
	// Loads are the load lines next before the request's end, of its own node and of those that it was sent to.
	Loads []Line
	// Events are what else happened at these nodes within a few seconds.
	Events []Line
	// Cause is one sentence.
	Cause string
}

// ErrNoLines tells that the logs were read and hold no line at all.
var ErrNoLines = errors.New("the logs hold no line of a node")

// UnknownRequestError tells that no line carries the id.
type UnknownRequestError struct {
	Request string
	Lines   int
}

// Error says why a request may be missing.
func (e UnknownRequestError) Error() string {
	return fmt.Sprintf("request %q: none of %d lines carries it; a node writes at most 20 failures of a kind and one "+
		"success a second", e.Request, e.Lines)
}
