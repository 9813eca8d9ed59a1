package soaker

// Some requests end the endpoint that runs them. Their callers send them again with other ids at other nodes, or send requests
// whose runs make the same nested call again. However they come, they may end only a few endpoints.
//
// One fault in withinAnswer ends endpoints within their answers; which ones, the drawn duration says.
//
// Example: /look/fatal/3 ends i-2, i-5 and i-8, and is offered to i-11: offeredAfterEnds.

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	// fatalTries is how often a caller sends a request that ends endpoints, fatalPause the time between two tries.
	fatalTries = 8
	fatalPause = 100 * time.Millisecond
	// withinAnswer is how many faults there are for each that ends endpoints within their answers.
	withinAnswer = 3
	// quarantinedReason is the reason of a refusal because of endpoints that ended under the request.
	quarantinedReason = "quarantined"
)

// fatalFaults are requests that end endpoints, sent directly or as the nested call of other runs.
var fatalFaults = []fault{
	{"fatalRequest", func(f *fleet, n *node, d time.Duration) error {
		return f.sendFatal(n, d, "/look"+standin.FatalPath, "")
	}},
	{"fatalOrder", func(f *fleet, n *node, d time.Duration) error {
		return f.sendFatal(n, d, "/order"+standin.FatalPath, "order")
	}},
	{"fatalNestedCall", func(f *fleet, n *node, d time.Duration) error {
		return f.sendFatal(n, d, "/read"+standin.FatalNestedPath, "")
	}},
}

// sendFatal sends a request again and again, each time at another node.
func (f *fleet) sendFatal(n *node, d time.Duration, path, body string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	key := fmt.Sprintf("%s-%d", n.name, time.Now().UnixNano())
	if int64(d)%withinAnswer == 0 {
		key += standin.AnsweringPart
	}
	first := slices.Index(f.nodes, n)
	for i := range fatalTries {
		other := f.nodes[(first+i)%len(f.nodes)]
		q := standin.Request{
			Address: other.outbound, Host: host, Path: path + key, ID: fmt.Sprintf("fatal-%s-%d", key, i), Key: steadyKey, Body: body,
			Timeout: callTimeout,
		}
		f.send(client, other.name, q, "steady", body == "")
		time.Sleep(fatalPause)
	}
	time.Sleep(d)
	return nil
}

// isFatal returns whether a request is meant to end an endpoint, by its own run or by that run's nested call.
func (s Sent) isFatal() bool {
	return strings.Contains(s.Path, standin.FatalPath) || strings.Contains(s.Path, standin.FatalNestedPath)
}

// fatalKey returns what the tries of a request that ends endpoints have in common, empty for other requests.
func fatalKey(path string) string {
	if _, key, ok := strings.Cut(path, standin.FatalPath); ok {
		return key
	}
	return ""
}

// AddEnd records that a request ended an endpoint.
func (r *Record) AddEnd(request string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[request] = append(r.ends[request], at)
}

// offeredAfterEnds finds requests that were offered to endpoints after enough of them had ended under them.
func (r *Record) offeredAfterEnds(t Terms) (found []Breach) {
	ends, offers := map[string][]time.Time{}, map[string][]time.Time{}
	for request, times := range r.ends {
		key := fatalKey(r.sent[request].Path)
		ends[key] = append(ends[key], times...)
	}
	for _, arrivals := range r.arrivals {
		for _, a := range arrivals {
			if key := fatalKey(r.sent[a.Request].Path); key != "" {
				offers[key] = append(offers[key], a.At)
			}
		}
	}
	for key, times := range ends {
		if len(times) < t.MaxEnds {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		last := times[t.MaxEnds-1]
		later := 0
		for _, at := range offers[key] {
			if at.After(last) {
				later++
			}
		}
		if later > 0 {
			found = append(found, Breach{"offeredAfterEnds", fmt.Sprintf("%s, under which %d endpoints had ended, was offered %d times more; %d ended in all",
				key, t.MaxEnds, later, len(times))})
		}
	}
	return found
}

// healthyQuarantined finds requests that were refused for ends of endpoints which they did not cause.
func (r *Record) healthyQuarantined(Terms) (found []Breach) {
	for _, s := range r.sent {
		if s.Answer.Reason == quarantinedReason && !s.isFatal() {
			found = append(found, Breach{"healthyQuarantined", fmt.Sprintf("%s for %s was refused as %s", s.ID, s.Path, s.Answer.Reason)})
		}
	}
	return found
}
