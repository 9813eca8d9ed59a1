package exchanger

// The store keeps the records of all nodes in one topic, and anything may be written to it. A record that no node of this
// project writes names no endpoint: taken over, a number of slots near 2^63 uses up the memory of each node that reads it, an
// address without a port is called for seconds, and an incarnation that can't grow any more shadows its node for good.
//
// Example: slots of 9e18 are refused with MemberError{Node: "a", Field: "slots", Value: 9e18, ...}.

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/limiter"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
)

// maxCount bounds incarnations and sequence numbers, so that they can still grow: milliseconds for 280,000 years.
const maxCount = 1 << 53

// MemberError reports a member's record with an invalid field.
type MemberError struct {
	Node, Field string
	Value       any
	Want        string
}

// Error names the node, the field and its value.
func (e MemberError) Error() string {
	return fmt.Sprintf("member %.64q: %s is %.64q, expected %s", e.Node, e.Field, fmt.Sprint(e.Value), e.Want)
}

// check returns an error for the first invalid field.
func (w wireMember) check() error {
	for _, f := range []struct {
		name, value string
		required    bool
	}{
		{"node", w.Node, true},
		{"failure domain", w.Domain, false},
		{"service", w.Service, false},
		{"endpoint", w.Endpoint, false},
	} {
		if len(f.value) > identifier.MaxNameBytes || f.required && f.value == "" {
			return MemberError{Node: w.Node, Field: f.name, Value: f.value, Want: fmt.Sprintf("1 to %d bytes", identifier.MaxNameBytes)}
		}
	}
	for _, f := range []struct{ name, value string }{
		{"delivery address", w.DeliveryAddress},
		{"peer address", w.PeerAddress},
	} {
		if !identifier.IsAddress(f.value) {
			return MemberError{Node: w.Node, Field: f.name, Value: f.value, Want: "host:port with a port from 1 to 65535"}
		}
	}
	for _, f := range []struct {
		name       string
		value, max int64
	}{
		{"slots", int64(w.Slots), limiter.MaxSlots},
		{"state", int64(w.State), int64(Stopping)},
		{"cold time left", w.ColdLeft, int64(registrar.MaxColdLeft)},
		{"incarnation", w.Incarnation, maxCount},
		{"sequence", w.Sequence, maxCount},
		{"start", w.Started, maxCount},
	} {
		if f.value < 0 || f.value > f.max {
			return MemberError{Node: w.Node, Field: f.name, Value: f.value, Want: fmt.Sprintf("0 to %d", f.max)}
		}
	}
	return nil
}
