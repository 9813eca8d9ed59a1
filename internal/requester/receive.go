package requester

// What a faulty server sends is read up to bounds, and only the answer to the request under way is returned.
//
// Example: 503 for c3-17 arrives while c3-18 is awaited; it is dropped, and the answer behind it is returned.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// belongsTo returns whether an answer is one to the request under way on its connection.
func (c *Client) belongsTo(head *http.Response, r *Request) bool {
	return c.options.IDField == "" || r.NewConnection || head.Header.Get(c.options.IDField) == r.ID
}

func (c *Client) reportDropped(n *conn, awaited string, head *http.Response) {
	if c.options.AnswerDropped == nil {
		return
	}
	d := DroppedAnswer{Connection: n.LocalAddr().String(), Awaited: awaited, Status: head.StatusCode}
	d.Got = head.Header.Get(c.options.IDField)
	if sent := n.sent.find(c.keyOf(d.Got)); sent != nil {
		d.Known, d.Taken = true, sent.status
	}
	c.options.AnswerDropped(d)
}

// maxReportedBytes is how much of what has arrived on an idle connection is read to report it.
const maxReportedBytes = 2 << 10

// reportUnread reports the first answer that has arrived on a connection without a request under way, before it is closed.
func (c *Client) reportUnread(n *conn) {
	if c.options.AnswerDropped == nil {
		return
	}
	text := n.peekInput(maxReportedBytes)
	if len(text) == 0 {
		return
	}
	head, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		head = &http.Response{}
	}
	c.reportDropped(n, "", head)
}

const (
	// MaxHeadBytes is the length of the longest status line and head of an answer that are read.
	MaxHeadBytes = 64 << 10
	// maxInterimAnswers is how many answers with a status below 200 may come before the final one.
	maxInterimAnswers = 8
	// maxDroppedAnswers is how many answers to other requests may come before the right one.
	maxDroppedAnswers = 16
	// maxStrayBytes is the longest answer to another request that is read and dropped to reach the right one.
	maxStrayBytes = 256 << 10
)

var errStray = errors.New("answer belongs to another request")

func (c *Client) reportBound(n *conn, r *Request, err error) {
	var exceeded BoundError
	if c.options.BoundExceeded != nil && errors.As(err, &exceeded) {
		c.options.BoundExceeded(ExceededBound{BoundError: exceeded, Connection: n.LocalAddr().String(), Address: n.address, ID: r.ID})
	}
}

// skipBody reads the body of an answer to another request, up to the beginning of the next answer.
func skipBody(head *http.Response) error {
	if !isFramed(head) || head.ContentLength > maxStrayBytes {
		return errStray
	}
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxStrayBytes+1))
	if err != nil {
		return fmt.Errorf("read an answer to another request: %w", err)
	}
	if n > maxStrayBytes {
		return errStray
	}
	return nil
}

// isFramed returns whether an answer's head states where its body ends.
func isFramed(head *http.Response) bool {
	return head.ContentLength >= 0 || len(head.TransferEncoding) > 0
}

// readHead reads a status line and a head of at most MaxHeadBytes.
func readHead(n *conn, r *Request) (*http.Response, error) {
	n.headLeft.Store(MaxHeadBytes)
	defer n.headLeft.Store(unboundedHead)
	head, err := http.ReadResponse(n.reader, &http.Request{Method: r.Method})
	switch {
	case err != nil && n.headLeft.Load() == 0:
		return nil, BoundError{Bound: "head", Limit: MaxHeadBytes}
	case err != nil:
		return nil, err
	case holdsOtherStatusLine(head):
		return nil, BoundError{Bound: "statusLines", Limit: 1}
	}
	if err := checkStatusAndNames(head); err != nil {
		return nil, err
	}
	return head, nil
}

func readFinalHead(n *conn, r *Request) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		head, err := readHead(n, r)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK || head.StatusCode == http.StatusSwitchingProtocols {
			return head, nil
		}
	}
	return nil, BoundError{Bound: "interimAnswers", Limit: maxInterimAnswers}
}
