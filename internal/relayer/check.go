package relayer

// The endpoint beside this node is asked which one it is and for how much longer it is cold, where that is not known from its
// heartbeats yet. A healthy one that says nothing of it is warm; one that gives another answer may be either.
//
// Example: 200 with the endpoint's id and 1200 ms left: EndpointChecked{Endpoint: "i-7", ColdLeft: 1200, Known: true}.

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// checkTimeout bounds a check; until it ends, the endpoint counts as cold.
const checkTimeout = 500 * clock.Millisecond

func (r *Relayer) check(e conductor.CheckEndpoint) {
	checked, err := r.requestHealth(e.Path)
	if err != nil {
		r.options.Recorder.Dependency("endpoint", fmt.Errorf("check: %w", err))
	}
	r.options.Recorder.Event("endpoint checked", "endpoint", string(checked.Endpoint), "known", checked.Known,
		"coldMs", int64(checked.ColdLeft))
	r.ApplyEvent(checked)
}

func (r *Relayer) requestHealth(path string) (conductor.EndpointChecked, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout.Std())
	defer cancel()
	request := &requester.Request{
		Method: http.MethodGet,
		URI:    path,
		Host:   r.options.EndpointAddress,
		Header: http.Header{},
	}
	response, err := r.endpoints.Do(ctx, r.options.EndpointAddress, request)
	if err != nil {
		return conductor.EndpointChecked{}, err
	}
	response.Close(drainBody(response))
	h := r.options.Headers
	checked := conductor.EndpointChecked{Endpoint: identifier.Endpoint(response.Header.Get(h.Instance))}
	text := response.Header.Get(h.ColdLeft)
	if text == "" {
		checked.Known = response.StatusCode == http.StatusOK
		return checked, nil
	}
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(milliseconds >= 0) || milliseconds > maxColdMs {
		return checked, fmt.Errorf("%s is %q, want milliseconds", h.ColdLeft, text)
	}
	checked.ColdLeft, checked.Known = clock.Duration(milliseconds), true
	return checked, nil
}

// maxColdMs bounds in milliseconds what an endpoint may say of the time for which it is cold.
const maxColdMs = 3_600_000
