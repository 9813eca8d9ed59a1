package soaker

// An endpoint's answers may name a rate limit or say that the endpoint is leaving. Both bind every node from the moment at
// which it has passed on such an answer, so the checks compare the answers that callers and endpoints got through a node
// with the requests that began at that node and reached the endpoint later.
//
// Example: i-2 names 10 a second; 80 requests of nodes that passed this on reach it in 4 s, 65 allowed: limitExceeded.

import (
	"fmt"
	"slices"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

// limitChange is a change of the rate limit that an endpoint names.
type limitChange struct {
	at        time.Time
	limited   bool
	perSecond float64
	// unreadableAt is when the endpoint's answers began to hold text instead that is no limit, zero if they never did.
	unreadableAt time.Time
}

// AddArrival records a request that reached an endpoint.
func (r *Record) AddArrival(a standin.Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[a.Instance] = append(r.arrivals[a.Instance], a)
}

// AddLimit records that an endpoint's answers name a rate limit from now on.
func (r *Record) AddLimit(instance string, at time.Time, perSecond float64) {
	r.addLimitChange(instance, limitChange{at: at, limited: true, perSecond: perSecond})
}

// AddLimitLifted records that an endpoint's answers name no rate limit any more.
func (r *Record) AddLimitLifted(instance string, at time.Time) {
	r.addLimitChange(instance, limitChange{at: at})
}

// AddUnreadableLimit records that an endpoint's answers hold text from now on that is no limit.
func (r *Record) AddUnreadableLimit(instance string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changes := r.limits[instance]; len(changes) > 0 {
		changes[len(changes)-1].unreadableAt = at
	}
}

func (r *Record) addLimitChange(instance string, c limitChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits[instance] = append(r.limits[instance], c)
}

// AddStart records that an endpoint started anew, so that nothing it said before binds any more.
func (r *Record) AddStart(instance string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[instance] = append(r.starts[instance], at)
}

// BeginExcuse records that a node is restarted, frozen or cut off until the returned function is called.
func (r *Record) BeginExcuse(node string) (end func()) {
	return r.beginSpan(r.excuses, node)
}

// beginSpan adds a span that lasts until the returned function is called.
func (r *Record) beginSpan(spans map[string][]span, name string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans[name] = append(spans[name], span{from: time.Now()})
	i := len(spans[name]) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		spans[name][i].to = time.Now()
	}
}

// excusedSince returns whether a restart, freeze or cut of the node lasted at any moment from the given time to the other.
func (r *Record) excusedSince(node string, from, to time.Time) bool {
	return anyTouches(r.excuses[node], from, to)
}

// anyTouches returns whether any of the spans lasted at any moment from the given time to the other.
func anyTouches(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.touches(from, to) })
}

func (s span) touches(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// passedOn holds, for each endpoint and node, when the node passed on the endpoint's answers of one kind.
type passedOn map[string]map[string][]time.Time

// passedOnAnswers returns the times of the answers that a node passed on and that satisfy the condition, in order.
func (r *Record) passedOnAnswers(satisfies func(standin.Answer) bool) passedOn {
	all := passedOn{}
	for _, s := range r.sent {
		if s.Answer.Instance == "" || !satisfies(s.Answer) {
			continue
		}
		if all[s.Answer.Instance] == nil {
			all[s.Answer.Instance] = map[string][]time.Time{}
		}
		all[s.Answer.Instance][s.Node] = append(all[s.Answer.Instance][s.Node], s.Answered)
	}
	for _, nodes := range all {
		for _, times := range nodes {
			slices.SortFunc(times, time.Time.Compare)
		}
	}
	return all
}

// firstSince returns the first of the sorted times that is not before the given one, false if there is none.
func firstSince(times []time.Time, from time.Time) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	if i == len(times) {
		return time.Time{}, false
	}
	return times[i], true
}

// limitPeriod is a period in which an endpoint named a limit without a break.
type limitPeriod struct {
	from, to time.Time
	changes  []limitChange
}

// named returns whether a request reached an endpoint while its answers named a limit; until is when the next one replaced it, zero
// for never. Endpoints say nothing but in answers, so that otherwise nobody was told.
func (r *Record) named(instance string, c limitChange, until time.Time) bool {
	if !c.unreadableAt.IsZero() {
		until = c.unreadableAt
	}
	return slices.ContainsFunc(r.arrivals[instance], func(a standin.Arrival) bool {
		return !a.At.Before(c.at) && (until.IsZero() || a.At.Before(until))
	})
}

func (r *Record) limitPeriods(instance string) (periods []limitPeriod) {
	var current *limitPeriod
	changes := r.limits[instance]
	for i, c := range changes {
		until := time.Time{}
		if i+1 < len(changes) {
			until = changes[i+1].at
		}
		switch {
		case c.limited && !r.named(instance, c, until):
		case c.limited && current == nil:
			current = &limitPeriod{from: c.at, changes: []limitChange{c}}
		case c.limited:
			current.changes = append(current.changes, c)
		case current != nil:
			current.to = c.at
			periods, current = append(periods, *current), nil
		}
	}
	if current != nil {
		periods = append(periods, *current)
	}
	return periods
}

// allowed returns how many requests the limits of the period allow in the window that ends at the given time. A limit
// that was lowered counts for reactionTime longer.
func (p limitPeriod) allowed(end time.Time, t Terms) float64 {
	const steps = 80
	sum := 0.0
	for i := range steps {
		at := end.Add(-t.LimitWindow * time.Duration(2*i+1) / (2 * steps))
		sum += p.limitAt(at, t.LimitReaction)
	}
	return t.LimitExcess*sum/steps*t.LimitWindow.Seconds() + t.LimitSlack
}

// limitAt returns the highest limit in force within the given time before a moment; before the period, the first limit
// counts.
func (p limitPeriod) limitAt(at time.Time, within time.Duration) float64 {
	if at.Before(p.from) {
		return p.changes[0].perSecond
	}
	highest := 0.0
	for i, c := range p.changes {
		replaced := i+1 < len(p.changes) && !p.changes[i+1].at.After(at.Add(-within))
		if !replaced && !c.at.After(at) {
			highest = max(highest, c.perSecond)
		}
	}
	return highest
}

// limitExceeded counts, in every window that ends with an arrival, the requests from nodes that had passed on an answer
// with the limit.
func (r *Record) limitExceeded(t Terms) (found []Breach) {
	told := r.passedOnAnswers(func(a standin.Answer) bool { return a.Limit != "" })
	for instance, arrivals := range r.arrivals {
		slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		for _, p := range r.limitPeriods(instance) {
			if b, broken := r.exceedsPeriod(instance, p, told[instance], t); broken {
				found = append(found, b)
			}
		}
	}
	return found
}

func (r *Record) exceedsPeriod(instance string, p limitPeriod, told map[string][]time.Time, t Terms) (Breach, bool) {
	var counted []time.Time
	for _, a := range r.arrivals[instance] {
		if a.At.Before(p.from) || !p.to.IsZero() && !a.At.Before(p.to) || !r.knewLimit(a, p, told, t) {
			continue
		}
		counted = append(counted, a.At)
		for a.At.Sub(counted[0]) >= t.LimitWindow {
			counted = counted[1:]
		}
		if a.At.Sub(p.from) < t.Contact {
			continue
		}
		if allowed := p.allowed(a.At, t); float64(len(counted)) > allowed {
			return Breach{"limitExceeded", fmt.Sprintf("%s named %.1f a second and got %d requests in %s to %s from nodes that knew it, %.0f allowed",
				instance, p.limitAt(a.At, 0), len(counted), t.LimitWindow, a.At.UTC().Format("15:04:05.000"), allowed)}, true
		}
	}
	return Breach{}, false
}

// knewLimit returns whether the node at which a request began had passed on an answer with the limit of the period long
// enough before the request arrived, and has not been restarted, frozen or cut off since.
func (r *Record) knewLimit(a standin.Arrival, p limitPeriod, told map[string][]time.Time, t Terms) bool {
	s, ok := r.sent[a.Request]
	if !ok {
		return false
	}
	from := p.from
	for _, e := range r.excuses[s.Node] {
		switch {
		case e.from.After(a.At):
		case e.to.IsZero() || !e.to.Before(a.At):
			return false
		case e.to.After(from):
			from = e.to
		}
	}
	first, ok := firstSince(told[s.Node], from)
	return ok && !first.After(a.At.Add(-t.LimitReaction))
}

// afterLeavingAnswer finds requests that were sent later than Drain after their node had passed on an answer that said
// that the endpoint is leaving, and reached it nevertheless.
func (r *Record) afterLeavingAnswer(t Terms) (found []Breach) {
	told := r.passedOnAnswers(func(a standin.Answer) bool { return a.Leaving })
	for instance, arrivals := range r.arrivals {
		for _, a := range arrivals {
			s, ok := r.sent[a.Request]
			if !ok {
				continue
			}
			first, ok := firstSince(told[instance][s.Node], r.lastStart(instance, a.At))
			if ok && s.At.After(first.Add(t.Drain)) && !r.excusedSince(s.Node, first, a.At) {
				found = append(found, Breach{"afterLeavingAnswer", fmt.Sprintf("%s reached %s, sent %s after %s passed on that it leaves",
					s.ID, instance, s.At.Sub(first), s.Node)})
			}
		}
	}
	return found
}

// lastStart returns when the endpoint last started anew before the given time.
func (r *Record) lastStart(instance string, before time.Time) (last time.Time) {
	for _, at := range r.starts[instance] {
		if !at.After(before) {
			last = at
		}
	}
	return last
}

// withoutRetryAfter finds refusals for lack of capacity that do not say when to return.
func (r *Record) withoutRetryAfter(Terms) (found []Breach) {
	for _, s := range r.sent {
		if s.Answer.Instance == "" && s.Answer.NotRun() && s.Answer.RetryAfter == "" {
			found = append(found, Breach{"withoutRetryAfter", fmt.Sprintf("%s was refused with %d and no time to return", s.ID, s.Answer.Status)})
		}
	}
	return found
}
