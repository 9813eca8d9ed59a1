package soaker

// The record keeps each version of the configuration with the times of its sending and its acknowledgement. The checks compare it
// with what callers and endpoints saw: from ApplyWithin after a version's acknowledgement on, nodes in touch may not treat a request
// as only an older version allows, and none may go back to an older one.
//
// Example: version 9 drops /shift1/, acknowledged at 10.0 s; node-3 sends a request of 12.1 s for it to desk: olderConfiguration.

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// version is a version of the configuration; routes are kept by prefix.
type version struct {
	number      int64
	sent, acked time.Time
	routes      map[string]standin.Route
	keys        map[string]bool
}

// BeginVersion records that a configuration is being sent to the store, EndVersion that the store has acknowledged it.
func (r *Record) BeginVersion(c standin.Configuration) {
	v := version{number: c.Version, sent: time.Now(), routes: map[string]standin.Route{}, keys: map[string]bool{}}
	for _, route := range c.Routes {
		if route.Host == host {
			v.routes[route.Prefix] = route
		}
	}
	for _, team := range c.Teams {
		for _, key := range team.Keys {
			v.keys[key] = true
		}
	}
	r.addVersion(v)
}

func (r *Record) addVersion(v version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, v)
}

// EndVersion records the acknowledgement of the version that was sent last.
func (r *Record) EndVersion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[len(r.versions)-1].acked = time.Now()
}

// BeginStoreDisruption records that the store is down, slow or loses answers until the returned function is called.
func (r *Record) BeginStoreDisruption() (end func()) {
	return r.beginSpan(r.disruptions, storeName)
}

// storeName is the name under which disruptions of the store are recorded; no node has it.
const storeName = "the store"

// AddStoreInstability records that the store has dropped a part of its history.
func (r *Record) AddStoreInstability() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeInstabilities = append(r.storeInstabilities, time.Now())
}

// AddNodeStart records that a process of a node starts.
func (r *Record) AddNodeStart(node string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodeStarts[node] = append(r.nodeStarts[node], at)
}

// inTouch returns whether a time bound holds for a node at any moment from one time to another.
func (r *Record) inTouch(node string, from, to time.Time, t Terms) bool {
	from = from.Add(-t.Contact)
	started := slices.ContainsFunc(r.nodeStarts[node], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
	return !started && !anyTouches(r.disruptions[node], from, to) && !anyTouches(r.excuses[node], from, to) &&
		!anyTouches(r.stops[node], from, to) && !anyTouches(r.disruptions[storeName], from, to)
}

// applyWithin returns the time within which a version acknowledged before the given time has to be in force.
func (r *Record) applyWithin(at time.Time, t Terms) time.Duration {
	for _, unstable := range r.storeInstabilities {
		if since := at.Sub(unstable); since >= -t.ApplyWithin && since <= t.Contact+t.ApplyWithin+t.MaxStretch {
			return t.ApplyWithin + t.MaxStretch
		}
	}
	return t.ApplyWithin
}

// treatment is what a node did with a request: an endpoint of a service ran it, or the node refused it.
type treatment struct {
	sent    Sent
	service string
	status  int
	at      time.Time
}

func (t treatment) String() string {
	if t.status != 0 {
		return fmt.Sprintf("%s for %s with %s at %s was refused with %d", t.sent.ID, t.sent.Path, t.sent.Key, t.sent.Node, t.status)
	}
	return fmt.Sprintf("%s for %s with %s at %s was run by %s", t.sent.ID, t.sent.Path, t.sent.Key, t.sent.Node, t.service)
}

// treatments returns how callers' requests with keys were treated, in order of time.
func (r *Record) treatments() (all []treatment) {
	for _, run := range r.runs {
		if s, ok := r.sent[run.Request]; ok && s.Key != "" {
			all = append(all, treatment{sent: s, service: run.Service, at: run.At})
		}
	}
	for _, s := range r.sent {
		refused := s.Answer.Status == http.StatusNotFound || s.Answer.Status == http.StatusUnauthorized
		if s.Key != "" && refused && s.Answer.Instance == "" {
			all = append(all, treatment{sent: s, status: s.Answer.Status, at: s.Answered})
		}
	}
	slices.SortFunc(all, func(a, b treatment) int { return a.at.Compare(b.at) })
	return all
}

// prefixOf returns the first part of a path.
func prefixOf(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + first + "/"
}

func (v version) allows(t treatment) bool {
	route, found := v.routes[prefixOf(t.sent.Path)]
	switch t.status {
	case http.StatusNotFound:
		return !found
	case http.StatusUnauthorized:
		return !v.keys[t.sent.Key]
	default:
		_, inSplit := route.Split[t.service]
		return found && v.keys[t.sent.Key] && (route.Service == t.service || inSplit)
	}
}

// mayBeInForce returns the indexes of the oldest and the newest version that may be in force at a node in touch for a request.
func (r *Record) mayBeInForce(sent, end time.Time, t Terms) (oldest, newest int) {
	bound := sent.Add(-r.applyWithin(sent, t))
	for i, v := range r.versions {
		if !v.acked.IsZero() && v.acked.Before(bound) {
			oldest = i
		}
		if !v.sent.After(end) {
			newest = i
		}
	}
	return oldest, newest
}

// effect is the oldest version that may have been in force when an endpoint ran a request.
type effect struct {
	at    time.Time
	index int
}

// olderConfigurations finds requests that were treated as only an older version allows, and nodes that went back to one.
func (r *Record) olderConfigurations(t Terms) (found []Breach) {
	effects := map[string][]effect{}
	for _, one := range r.treatments() {
		if len(r.versions) == 0 {
			break
		}
		node := one.sent.Node
		oldest, newest := r.mayBeInForce(one.sent.At, one.at, t)
		if !r.inTouch(node, one.sent.At, one.at, t) {
			oldest = 0
		}
		seen := r.seenBefore(effects[node], node, one.sent.At, t)
		allowing := func(from int) int {
			for i := from; i <= newest; i++ {
				if r.versions[i].allows(one) {
					return i
				}
			}
			return -1
		}
		first := allowing(max(oldest, seen))
		switch {
		case first < 0 && allowing(oldest) < 0:
			found = append(found, Breach{"olderConfiguration", fmt.Sprintf("%s, sent %s after version %d was acknowledged",
				one, one.sent.At.Sub(r.versions[oldest].acked).Round(time.Millisecond), r.versions[oldest].number)})
		case first < 0:
			found = append(found, Breach{"configurationRegressed", fmt.Sprintf("%s, as only versions before %d allow", one, r.versions[seen].number)})
		case one.status == 0:
			effects[node] = append(effects[node], effect{at: one.at, index: first})
		}
	}
	return found
}

// seenBefore returns the newest version of which an endpoint saw the effect through the node's present process long enough before.
func (r *Record) seenBefore(effects []effect, node string, sent time.Time, t Terms) (index int) {
	slack := t.RollbackSlack
	if !r.inTouch(node, sent, sent, t) {
		slack *= slowedSlackFactor
	}
	started := time.Time{}
	for _, at := range r.nodeStarts[node] {
		if !at.After(sent) {
			started = at
		}
	}
	for _, e := range effects {
		if e.at.After(started) && e.at.Add(slack).Before(sent) {
			index = max(index, e.index)
		}
	}
	return index
}

// slowedSlackFactor is how many times longer a disrupted node may still act by an older version.
const slowedSlackFactor = 8

// addedNotServed compares how often nodes in touch serve requests on routes that were added later and on the first ones.
func (r *Record) addedNotServed(t Terms) []Breach {
	var added, first struct{ sent, served int }
	for _, s := range r.sent {
		if s.Key != probingKey && s.Key != steadyKey || strings.HasSuffix(s.Path, standin.SlowPath) || !r.inTouch(s.Node, s.At, s.Answered, t) {
			continue
		}
		group := &first
		if s.Key == probingKey {
			group = &added
		}
		if group == &added && !r.hasRouteThroughout(s, t) {
			continue
		}
		group.sent++
		if s.Answer.Status/100 == 2 {
			group.served++
		}
	}
	if added.sent < minAddedRequests || float64(added.served)*float64(first.sent) >= float64(first.served)*float64(added.sent)/4 {
		return nil
	}
	return []Breach{{"addedRouteNotServed", fmt.Sprintf("%d of %d requests on routes added later were served, and %d of %d on others",
		added.served, added.sent, first.served, first.sent)}}
}

// minAddedRequests is the least number of requests on added routes that is judged.
const minAddedRequests = 20

// hasRouteThroughout returns whether each version that may be in force for a request has its route.
func (r *Record) hasRouteThroughout(s Sent, t Terms) bool {
	if len(r.versions) == 0 {
		return false
	}
	oldest, newest := r.mayBeInForce(s.At, s.Answered, t)
	for _, v := range r.versions[oldest : newest+1] {
		if _, ok := v.routes[prefixOf(s.Path)]; !ok {
			return false
		}
	}
	return true
}

// splitOff finds times in which the parts of the split route got shares far from their weights.
func (r *Record) splitOff(t Terms) (found []Breach) {
	for i := 0; i < len(r.versions); {
		weight := r.versions[i].routes[splitPrefix].Split[services[1]]
		end := i + 1
		for end < len(r.versions) && r.versions[end].routes[splitPrefix].Split[services[1]] == weight {
			end++
		}
		until := r.faultsEnded.Add(recoveryTime)
		if end < len(r.versions) {
			until = r.versions[end].sent
		}
		if weight > 0 {
			found = append(found, r.splitOffBetween(weight, r.versions[i].acked.Add(t.ApplyWithin), until, t)...)
		}
		i = end
	}
	return found
}

const (
	// minSplitRequests is the least number of requests in a time that is judged, maxSplitOff how far a share may be off.
	minSplitRequests = 200
	maxSplitOff      = 0.2
)

func (r *Record) splitOffBetween(weight int, from, until time.Time, t Terms) []Breach {
	all, firstPart := 0, 0
	seen := map[string]bool{}
	for _, run := range r.runs {
		s, ok := r.sent[run.Request]
		if !ok || seen[s.ID] || prefixOf(s.Path) != splitPrefix || s.At.Before(from) || s.Answered.After(until) || !r.inTouch(s.Node, s.At, s.Answered, t) {
			continue
		}
		seen[s.ID] = true
		all++
		if run.Service == services[1] {
			firstPart++
		}
	}
	want, got := float64(weight)/fullWeight, float64(firstPart)/float64(max(1, all))
	if all < minSplitRequests || got-want <= maxSplitOff && want-got <= maxSplitOff {
		return nil
	}
	return []Breach{{"splitOff", fmt.Sprintf("%d of %d requests went to %s, whose weight is %d of %d", firstPart, all, services[1], weight, fullWeight)}}
}

const (
	// A request that lasts longer than its route's timeout has to be answered lateAnswer after it. Of minLong of them or more, not
	// over a quarter may be later; timeouts above longestJudged end too near to the callers' own.
	lateAnswer    = 500 * time.Millisecond
	minLong       = 8
	longestJudged = time.Second
)

// pastTimeout finds that requests are not answered when their route's timeout has passed.
func (r *Record) pastTimeout(t Terms) []Breach {
	long, late := 0, 0
	example := ""
	for _, s := range r.sent {
		timeout, ok := r.timeoutOf(s, t)
		if !ok || timeout > longestJudged || !r.inTouch(s.Node, s.At, s.Answered, t) || s.Answered.Sub(s.At) <= timeout {
			continue
		}
		long++
		if s.Answered.Sub(s.At) > timeout+lateAnswer {
			late++
			example = s.ID
		}
	}
	if long < minLong || 4*late <= long {
		return nil
	}
	return []Breach{{"pastTimeout", fmt.Sprintf("%d of %d requests longer than their timeout had no answer %s later, such as %s", late, long, lateAnswer, example)}}
}

// timeoutOf returns the longest timeout that the request's route has in the versions that may be in force, false if one lacks it.
func (r *Record) timeoutOf(s Sent, t Terms) (timeout time.Duration, ok bool) {
	if s.Key == "" || !r.hasRouteThroughout(s, t) {
		return 0, false
	}
	oldest, newest := r.mayBeInForce(s.At, s.Answered, t)
	for _, v := range r.versions[oldest : newest+1] {
		timeout = max(timeout, time.Duration(v.routes[prefixOf(s.Path)].TimeoutMs)*time.Millisecond)
	}
	return timeout, true
}
