package relayer

// Until its first heartbeat, the local endpoint's id and the remaining time for which it is cold are read from its health
// path. A healthy endpoint that reports no such time is warm; after any other answer it is unknown whether it is cold.
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

// checkTimeout bounds a health check; until the check ends, the endpoint counts as cold.
const checkTimeout = 500 * clock.Millisecond

func (r *Relayer) check(e conductor.CheckEndpoint) {
	checked, err := r.requestHealth(e.Path)
	if err != nil {
		r.options.Recorder.Dependency("endpoint", fmt.Errorf("health check: %w", err))
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
		// A health answer has no id; on a used connection, a late copy of another answer would be taken for it.
		NewConnection: true,
	}
	response, err := r.endpoints.Do(ctx, r.options.EndpointAddress, request)
	if err != nil {
		return conductor.EndpointChecked{}, err
	}
	response.Close(drainBody(response))
	h := r.options.Headers
	checked := conductor.EndpointChecked{
		Endpoint: identifier.Endpoint(response.Header.Get(h.Instance)),
		Notice:   r.ownNotice(response.Header),
	}
	text := response.Header.Get(h.ColdLeft)
	if text == "" {
		checked.Known = response.StatusCode == http.StatusOK
		return checked, nil
	}
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(milliseconds >= 0) || milliseconds > maxColdMs {
		return checked, fmt.Errorf("header field %s is %q, expected milliseconds from 0 to 3,600,000", h.ColdLeft, text)
	}
	checked.ColdLeft, checked.Known = clock.Duration(milliseconds), true
	return checked, nil
}

// maxColdMs is the upper bound of the milliseconds for which an endpoint may report that it is cold.
const maxColdMs = 3_600_000
