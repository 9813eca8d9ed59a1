package soaker

// The retries of a service are bounded over the whole fleet. Endpoints record each arrival, whether they run, decline or
// misdirect it; callers and endpoints record each request that they sent. The check compares the two and needs no node.
//
// Example: of 3,600 requests in 10 s 800 reach an endpoint a second time, 0.2 x 3,600 + 50 = 770 allowed: retriesExceeded.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// serviceOf returns the service of the route that a path is on, empty for none.
func serviceOf(path string) string {
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r.Service
		}
	}
	return ""
}

// serviceTimes are the times of a service's requests and retries, in order.
type serviceTimes struct{ requests, retries []time.Time }

// timesOfServices returns the times by service. A request counts when it was sent, whether it arrived or not; one whose
// sender had recorded no outcome by the end, a nested call in progress, and one on a route that changes, counts at its first arrival. Each arrival of a
// request beyond its first is a retry.
func (r *Record) timesOfServices() map[string]*serviceTimes {
	services := map[string]*serviceTimes{}
	of := func(service string) *serviceTimes {
		if services[service] == nil {
			services[service] = &serviceTimes{}
		}
		return services[service]
	}
	for _, s := range r.sent {
		if service := serviceOf(s.Path); service != "" {
			t := of(service)
			t.requests = append(t.requests, s.At)
		}
	}
	arrivals := slices.SortedFunc(func(yield func(standin.Arrival) bool) {
		for _, all := range r.arrivals {
			for _, a := range all {
				if !yield(a) {
					return
				}
			}
		}
	}, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	arrived := map[string]bool{}
	for _, a := range arrivals {
		t := of(a.Service)
		s, isSent := r.sent[a.Request]
		isSent = isSent && serviceOf(s.Path) != ""
		switch {
		case arrived[a.Request]:
			t.retries = append(t.retries, a.At)
		case !isSent:
			t.requests = append(t.requests, a.At)
		}
		arrived[a.Request] = true
	}
	for _, t := range services {
		slices.SortFunc(t.requests, time.Time.Compare)
	}
	return services
}

// countWithin returns how many of the sorted times lie after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	first := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, func(e, t time.Time) int {
			if e.After(t) {
				return 1
			}
			return -1
		})
		return i
	}
	return first(to) - first(from)
}

// retriesExceeded counts the retries of each service in every window that ends with a retry. The requests are those of that
// window, the one before or the one half a window before, whichever has most, since a retry may follow its request late.
func (r *Record) retriesExceeded(t Terms) (found []Breach) {
	for service, times := range r.timesOfServices() {
		for _, end := range times.retries {
			retries := countWithin(times.retries, end.Add(-t.RetryWindow), end)
			requests := 0
			for _, to := range []time.Time{end, end.Add(-t.RetryWindow / 2), end.Add(-t.RetryWindow)} {
				requests = max(requests, countWithin(times.requests, to.Add(-t.RetryWindow), to))
			}
			if allowed := t.RetryRatio*float64(requests) + t.RetrySlack; float64(retries) > allowed {
				found = append(found, Breach{"retriesExceeded", fmt.Sprintf("%d retries of %s in the %s to %s, %.0f allowed for %d requests",
					retries, service, t.RetryWindow, end.UTC().Format("15:04:05.000"), allowed, requests)})
				break
			}
		}
	}
	return found
}
