package inspector

// The client only reads, and limits the size of an answer: the dump of a large node has some megabytes, and a server that
// is not an admin endpoint may send an answer without end.
//
// Example: c, err := NewClient("http://127.0.0.1:8082", http.DefaultClient); s, err := c.Status(ctx)

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// MaxAnswerBytes is the size of the largest answer that the client accepts.
const MaxAnswerBytes = 64 << 20

// Client reads from one node's admin endpoint.
type Client struct {
	base *url.URL
	http *http.Client
}

// NewClient returns a client of the admin endpoint at the given URL.
func NewClient(address string, c *http.Client) (*Client, error) {
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("admin endpoint %q: want http://host:port or https://host:port", address)
	}
	return &Client{base: u, http: c}, nil
}

// Address returns the URL of the endpoint.
func (c *Client) Address() string {
	return c.base.String()
}

// Status returns the configuration in force at the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	data, err := c.get(ctx, StatusPath)
	if err != nil {
		return Status{}, err
	}
	var s Status
	if err := json.Unmarshal(data, &s); err != nil {
		return Status{}, RefusedError{Address: c.Address(), Status: http.StatusOK, Detail: err.Error()}
	}
	return s, nil
}

// Dump returns the node's state as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return c.raw(ctx, DumpPath)
}

// Metrics returns the node's expvar metrics as JSON.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	return c.raw(ctx, MetricsPath)
}

// Explain returns the decisions on a request that the node has kept, as JSON.
func (c *Client) Explain(ctx context.Context, request string) (json.RawMessage, error) {
	return c.raw(ctx, ExplainPath+url.PathEscape(request))
}

func (c *Client) raw(ctx context.Context, path string) (json.RawMessage, error) {
	data, err := c.get(ctx, path)
	if err != nil {
		return nil, err
	}
	if !json.Valid(data) {
		return nil, RefusedError{Address: c.Address(), Status: http.StatusOK, Detail: "answer is not valid JSON"}
	}
	return data, nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base.JoinPath(path).String(), nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, UnreachableError{Address: c.Address(), Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, UnreachableError{Address: c.Address(), Cause: err}
	}
	if len(data) > MaxAnswerBytes {
		return nil, RefusedError{Address: c.Address(), Status: res.StatusCode, Detail: "answer is larger than 64 MiB"}
	}
	if res.StatusCode != http.StatusOK {
		return nil, RefusedError{Address: c.Address(), Status: res.StatusCode, Detail: excerpt(data)}
	}
	return data, nil
}

func excerpt(data []byte) string {
	const longest = 200
	return strings.TrimSpace(string(data[:min(len(data), longest)]))
}
