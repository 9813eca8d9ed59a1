package appender

// A caller of the log must distinguish three failures, because each requires another reaction: a request to an
// unavailable log is retried, an expired offset means that a snapshot is needed, and a refusal is a fault of the
// caller.
//
// Example: var e Expired; if errors.As(err, &e), continue to read from e.Earliest.

import "fmt"

// Unavailable reports that the log gave no usable answer.
//
// An append that ends with it may have taken effect: a caller that appends again may write the record twice, and
// readers would process the same change two times. Records therefore carry a unique id, by which readers recognize a
// duplicate and the caller finds out what happened. NotSent marks the one case in which the append can't have taken
// effect.
type Unavailable struct {
	Operation string
	// NotSent is set if the request never left this process.
	NotSent bool
	Cause   error
}

// Error names the operation and the cause.
func (e Unavailable) Error() string {
	return fmt.Sprintf("the log is unavailable to %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e Unavailable) Unwrap() error {
	return e.Cause
}

// Expired reports a read from an offset that the log no longer keeps.
type Expired struct {
	From     Offset
	Earliest Offset
}

// Error names the requested and the oldest kept offset.
func (e Expired) Error() string {
	return fmt.Sprintf("the log no longer keeps offset %d: its earliest is %d", e.From, e.Earliest)
}

// Refused reports a request that the log refuses and would refuse again on each retry.
type Refused struct {
	Operation string
	Status    int
	Detail    string
}

// Error names the operation and the log's reason.
func (e Refused) Error() string {
	return fmt.Sprintf("the log refused to %s: status %d: %s", e.Operation, e.Status, e.Detail)
}

// StatusError reports an answer whose HTTP status is not a success.
type StatusError struct {
	Status int
	Detail string
}

// Error names the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}
