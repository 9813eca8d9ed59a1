package appender

// The client implements the protocol of docs/LOG.md over HTTP. It never retries an append: only its caller can find
// out, by reading the log, whether an append took effect whose answer was lost.
//
// Example: c, err := NewClient("http://127.0.0.1:7000", http.DefaultClient)

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// answerMargin is how long after the end of the requested wait a read still waits for its answer.
const answerMargin = 5 * time.Second

// maxAnswerBytes bounds an answer in memory: a batch in base64 with its field names.
const maxAnswerBytes = 4 * MaxBatchBytes

// Client is a Log reached over HTTP.
type Client struct {
	base *url.URL
	http *http.Client
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the log at the given base URL.
func NewClient(base string, c *http.Client) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("log URL: %w", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("log URL %q: want http://host:port or https://host:port", base)
	}
	return &Client{base: u, http: c}, nil
}

// Append adds a record and returns its offset.
func (c *Client) Append(ctx context.Context, data []byte) (Offset, error) {
	const operation = "append"
	body, err := EncodeAppend(data)
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	u := c.base.JoinPath(RecordsPath)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	status, answer, err := c.do(req, operation)
	if err != nil {
		return 0, err
	}
	if status != http.StatusCreated {
		return 0, statusError(operation, status, answer)
	}
	o, err := DecodeOffset(answer)
	if err != nil || o < 1 {
		return 0, Unavailable{Operation: operation, Cause: fmt.Errorf("answer without an offset: %q", excerpt(answer))}
	}
	return o, nil
}

// Read returns up to limit records at and after from, waiting up to wait while there are none.
func (c *Client) Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Batch, error) {
	const operation = "read"
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	u := c.base.JoinPath(RecordsPath)
	u.RawQuery = url.Values{
		"from":   {strconv.FormatInt(int64(from), 10)},
		"limit":  {strconv.Itoa(limit)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Batch{}, fmt.Errorf("create request: %w", err)
	}
	status, answer, err := c.do(req, operation)
	if err != nil {
		return Batch{}, err
	}
	if status != http.StatusOK && status != http.StatusGone {
		return Batch{}, statusError(operation, status, answer)
	}
	b, err := DecodeBatch(answer)
	if err != nil {
		return Batch{}, Unavailable{Operation: operation, Cause: fmt.Errorf("decode answer: %w", err)}
	}
	if status == http.StatusGone {
		return b, Expired{From: from, Earliest: b.Earliest}
	}
	return b, nil
}

func (c *Client) do(req *http.Request, operation string) (int, []byte, error) {
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, Unavailable{Operation: operation, NotSent: notSent(err), Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, Unavailable{Operation: operation, Cause: err}
	}
	if len(answer) > maxAnswerBytes {
		return 0, nil, Unavailable{Operation: operation, Cause: fmt.Errorf("answer of more than %d bytes", maxAnswerBytes)}
	}
	return res.StatusCode, answer, nil
}

// notSent reports whether err occurred before a connection was established, so that the log can't have received the
// request.
func notSent(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}

func statusError(operation string, status int, answer []byte) error {
	detail := excerpt(answer)
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return Unavailable{Operation: operation, Cause: StatusError{Status: status, Detail: detail}}
	}
	return Refused{Operation: operation, Status: status, Detail: detail}
}

func excerpt(answer []byte) string {
	const maxBytes = 200
	return strings.TrimSpace(string(answer[:min(len(answer), maxBytes)]))
}
