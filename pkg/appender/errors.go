package appender

// A caller of the log must tell three failures apart, for it does something else after each: an unavailable log
// is asked again, an expired offset means that a snapshot is needed, and a refusal is a fault of the caller.
//
// Example: var e Expired; errors.As(err, &e) → read on from e.Earliest.

import "fmt"

// Unavailable reports that the log gave no usable answer.
//
// An append that ends so may have taken effect: whoever takes it for a failure and appends again writes twice,
// which shows as one change judged two times. Records therefore carry an id of their own, by which a reader
// finds out, and NotSent tells the one case in which nothing can have happened.
type Unavailable struct {
	Operation string
	// NotSent tells that the request never left this process.
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

// Error names the wanted and the oldest kept offset.
func (e Expired) Error() string {
	return fmt.Sprintf("the log no longer keeps offset %d: its earliest is %d", e.From, e.Earliest)
}

// Refused reports a request that the log will not take, however often it is sent.
type Refused struct {
	Operation string
	Status    int
	Detail    string
}

// Error names the operation and the log's reason.
func (e Refused) Error() string {
	return fmt.Sprintf("the log refused to %s: status %d: %s", e.Operation, e.Status, e.Detail)
}

// StatusError reports an answer whose HTTP status is not one of success.
type StatusError struct {
	Status int
	Detail string
}

// Error names the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail)
}
