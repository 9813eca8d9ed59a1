package tracer

// The search follows the steps of an engineer: from the request's last line to the node that decided, from a failed
// attempt to the nested calls that failed while it ran, and from each node to its load and its events at that time.
//
// Example: Find(lines, "9c41") has the cause "endpoint i-7 beside b answered 500; while it ran, nested calls at that
// node failed, the one before its end was refused: ...".

import (
	"fmt"
	"slices"
	"time"
)

const (
	// eventWindow is the maximum time between the request's end and the events of its nodes that are shown: a node detects
	// the loss of the store within a few seconds.
	eventWindow = 3 * time.Second
	// maxClockSkew extends the time in which nested calls are matched to an attempt, since the nodes' clocks differ.
	maxClockSkew = 50 * time.Millisecond
	// maxNestedCalls limits the nested calls that are shown.
	maxNestedCalls = 10
)

// Find returns the trace of a request: its lines, related lines and the cause of its outcome.
func Find(lines []Line, request string) (Trace, error) {
	if len(lines) == 0 {
		return Trace{}, ErrNoLines
	}
	t := Trace{Request: request}
	for _, l := range lines {
		if l.Request == request {
			t.Lines = append(t.Lines, l)
		}
	}
	if len(t.Lines) == 0 {
		return Trace{}, UnknownRequestError{Request: request, Lines: len(lines)}
	}
	slices.SortStableFunc(t.Lines, byTime)
	t.addNested(lines)
	t.addLoads(lines)
	t.addEvents(lines)
	t.Cause = t.cause()
	return t, nil
}

func byTime(a, b Line) int {
	return a.Time.Compare(b.Time)
}

func (t *Trace) last() Line {
	return t.Lines[len(t.Lines)-1]
}

// lastAttempt returns the line of the request's last attempt.
func (t *Trace) lastAttempt() (Line, bool) {
	for _, l := range slices.Backward(t.Lines) {
		if l.At != "" {
			return l, true
		}
	}
	return Line{}, false
}

// addNested finds nested calls that failed at the node beside the endpoint while the endpoint ran the request. A nested
// call has a request id of its own, so only its node and its time relate it to the request.
func (t *Trace) addNested(lines []Line) {
	a, ok := t.lastAttempt()
	if !ok || !a.failed() {
		return
	}
	from, to := a.Time.Add(-a.Took-maxClockSkew), a.Time.Add(maxClockSkew)
	for _, l := range lines {
		if l.Node == a.At && l.Nested && l.failed() && l.Time.After(from) && l.Time.Before(to) {
			t.Nested = append(t.Nested, l)
		}
	}
	slices.SortStableFunc(t.Nested, byTime)
	t.Nested = t.Nested[max(0, len(t.Nested)-maxNestedCalls):]
}

// nodes returns the nodes that took part: those that logged the request or its failed nested calls, and those that
// attempts were sent to.
func (t *Trace) nodes() []string {
	var nodes []string
	for _, l := range append(slices.Clone(t.Lines), t.Nested...) {
		for _, node := range []string{l.Node, l.At} {
			if node != "" && !slices.Contains(nodes, node) {
				nodes = append(nodes, node)
			}
		}
	}
	return nodes
}

// addLoads finds the newest load line of each node, up to one second after the request's last line.
func (t *Trace) addLoads(lines []Line) {
	for _, node := range t.nodes() {
		var newest Line
		for _, l := range lines {
			if l.Node == node && l.Message == "load" && !l.Time.After(t.last().Time.Add(time.Second)) && l.Time.After(newest.Time) {
				newest = l
			}
		}
		if !newest.Time.IsZero() {
			t.Loads = append(t.Loads, newest)
		}
	}
}

// excludedMessages are messages that the trace shows elsewhere or that concern single requests; they are not events.
var excludedMessages = []string{"load", "attempt ended", "request refused", cutMessage, offeredMessage, unansweredMessage, droppedMessage}

func (t *Trace) addEvents(lines []Line) {
	nodes := t.nodes()
	for _, l := range lines {
		near := l.Time.Sub(t.last().Time).Abs() <= eventWindow
		if near && slices.Contains(nodes, l.Node) && !slices.Contains(excludedMessages, l.Message) {
			t.Events = append(t.Events, l)
		}
	}
	slices.SortStableFunc(t.Events, byTime)
}

// reasonTexts explain the reasons with which a node answers a request itself.
var reasonTexts = map[string]string{
	"noConfiguration":    "the node had read no configuration yet",
	"noRoute":            "no route of the version in force matched",
	"unknownKey":         "no team of the version in force held the key",
	"staleKeys":          "the store had been out of reach for nearly as long as a withdrawn key may live",
	"staleConfiguration": "the version in force lacks the route or key, and a newer one may have been accepted long enough ago to be in force",
	"overRate":           "the team was over its rate",
	"pressure":           "a service that the request leads to had more load than it could take",
	"noEndpoint":         "no endpoint was left to try",
	"noRoom":             "all endpoints that were asked were full",
	"expired":            "the queue took longer than the request could wait",
	"endpointGone":       "the endpoint had left",
	"endpointDown":       "the endpoint took no connection",
	"endpointRefused":    "the endpoint declined to run it",
	"inDoubt":            "it was sent and no answer came, so it may have run",
	"deadline":           "its time was up",
	"membersUnknown":     "the node had not read the member records yet, and could not tell its part of the team's rate",
	"quarantined":        "endpoints had ended under requests that ask for the same",
	"nodeStopping":       "the node was stopping and could not wait for it",
}

// lastOutcome returns the last line that says how the request or an attempt ended, or the last line if none does.
func (t *Trace) lastOutcome() Line {
	for _, l := range slices.Backward(t.Lines) {
		if l.Message == cutMessage || l.Reason != "" || l.At != "" {
			return l
		}
	}
	return t.last()
}

func (t *Trace) cause() string {
	last := t.lastOutcome()
	switch {
	case len(last.Offers) > 0:
		return "the last offer, " + last.Offers[len(last.Offers)-1].String()
	case last.Message == droppedMessage || last.Message == unansweredMessage:
		return last.String()
	case last.Message == cutMessage:
		return fmt.Sprintf("%s ended its planned stop %s after the request's arrival, before its answer had been passed on completely",
			last.Node, last.After)
	case last.Reason != "":
		return t.refusalCause(last)
	case !last.failed():
		return fmt.Sprintf("answered with %d by endpoint %s beside %s in %s", last.Status, last.Endpoint, last.At, last.Took)
	case last.Outcome == outcomeAnswered && len(t.Nested) == 0:
		return fmt.Sprintf("endpoint %s beside %s answered %d, and the logs show no failed nested call: it is the endpoint's own",
			last.Endpoint, last.At, last.Status)
	case last.Outcome == outcomeAnswered:
		return fmt.Sprintf("endpoint %s beside %s answered %d%s", last.Endpoint, last.At, last.Status, t.nestedCause())
	default:
		return fmt.Sprintf("the last attempt, at endpoint %s beside %s, ended as %s after %s%s%s",
			last.Endpoint, last.At, last.Outcome, last.Took, t.queueText(last.At), t.nestedCause())
	}
}

// nestedCause describes the last nested call that failed before the request ended.
func (t *Trace) nestedCause() string {
	if len(t.Nested) == 0 {
		return ""
	}
	nearest := t.Nested[0]
	for _, l := range t.Nested {
		if !l.Time.After(t.last().Time) {
			nearest = l
		}
	}
	return "; while it ran, nested calls at that node failed, the one before its end " + outcomeText(nearest)
}

func (t *Trace) refusalCause(last Line) string {
	text, ok := reasonTexts[last.Reason]
	if !ok {
		text = last.Reason
	}
	cause := fmt.Sprintf("%s answered %d after %s: %s", last.Node, last.Status, last.After, text)
	if last.Reason == "pressure" {
		cause += t.overloadText(last.Node)
	}
	if a, ok := t.lastAttempt(); ok {
		cause += fmt.Sprintf("; the attempt before it %s", outcomeText(a))
	}
	return cause + t.nestedCause()
}

// outcomeText describes how a request was refused or an attempt ended.
func outcomeText(l Line) string {
	if l.Reason != "" {
		return fmt.Sprintf("was refused: %s", reasonTexts[l.Reason])
	}
	if l.Outcome == outcomeAnswered {
		return fmt.Sprintf("got %d from endpoint %s beside %s after %s", l.Status, l.Endpoint, l.At, l.Took)
	}
	return fmt.Sprintf("ended as %s at endpoint %s beside %s after %s", l.Outcome, l.Endpoint, l.At, l.Took)
}

// overloadText lists the services that the node considers overloaded, with their excess load.
func (t *Trace) overloadText(node string) string {
	for _, l := range t.Loads {
		if overloaded := l.overloadedServices(); l.Node == node && overloaded != "" {
			return fmt.Sprintf(" (part too much: %s)", overloaded)
		}
	}
	return ""
}

// queueText describes the queue of a node's local endpoint; it is empty without queued calls.
func (t *Trace) queueText(node string) string {
	for _, l := range t.Loads {
		if l.Node == node && l.Queued > 0 {
			return fmt.Sprintf("; %d calls were queued there, for %s", l.Queued, l.QueueDelay)
		}
	}
	return ""
}
