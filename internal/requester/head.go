package requester

// net/http reads heads that are no answers: a status outside the classes that HTTP defines, and names of fields with blanks, such as
// "Content-Length : 2", which then frame nothing. Their bodies end where another reader would not end them.
//
// Example: "HTTP/1.1 000 None" gives HeadError{Field: "status", Value: "0"}.

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	minStatus, maxStatus = 100, 599
	// maxReportedName is how much of a field's name an error quotes.
	maxReportedName = 64
)

// HeadError reports a head that is no answer.
type HeadError struct {
	// Field is status, name or statusLines; Value is what it holds.
	Field, Value string
}

// Error names the part of the head and its value.
func (e HeadError) Error() string {
	return fmt.Sprintf("head of an answer: %s: %.*q", e.Field, maxReportedName, e.Value)
}

// CheckHead returns a HeadError if the head of an answer is none.
func CheckHead(head *http.Response) error {
	if holdsOtherStatusLine(head) {
		return HeadError{Field: "statusLines", Value: head.Status}
	}
	return checkStatusAndNames(head)
}

func checkStatusAndNames(head *http.Response) error {
	if head.StatusCode < minStatus || head.StatusCode > maxStatus {
		return HeadError{Field: "status", Value: strconv.Itoa(head.StatusCode)}
	}
	for name := range head.Header {
		if !isToken(name) {
			return HeadError{Field: "name", Value: name}
		}
	}
	return nil
}

// isToken returns whether a text may be the name of a field.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool {
		alphanumeric := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		return !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	})
}

// CheckedTransport returns a transport whose answers have heads that CheckHead accepts.
func CheckedTransport(t http.RoundTripper) http.RoundTripper {
	return checkedTransport{t}
}

type checkedTransport struct {
	http.RoundTripper
}

// RoundTrip sends a request and returns its answer.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	return response, nil
}

// CloseIdleConnections closes the transport's idle connections; http.Client looks for it.
func (t checkedTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// statusLine matches the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d +\d{3}`)

// holdsOtherStatusLine returns whether another answer begins within a head, since the one before it was cut short. Status, id and
// all other fields may then be of either.
func holdsOtherStatusLine(head *http.Response) bool {
	if holdsStatusLine(head.Status) {
		return true
	}
	for _, values := range head.Header {
		if slices.ContainsFunc(values, holdsStatusLine) {
			return true
		}
	}
	return false
}

func holdsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}
