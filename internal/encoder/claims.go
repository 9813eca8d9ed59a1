// Wire types of claims: the record on the log and the two messages between holder and witness.
//
// Example: a PromiseRequest for "ids/3" takes about twenty bytes, so that a fleet's heartbeats cost little.

package encoder

import (
	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// Kinds of the claimer's records and messages.
const (
	kindClaim          Kind = 100
	kindPromiseRequest Kind = 101
	kindPromise        Kind = 102
)

type claimWire struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Kind        uint8
	Epoch       int64
	Holder      string
	Witness     string
	By          string
	Attempt     uint64
	After       int64
	Start       int64
	Outstanding int64
}

type promiseRequestWire struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Epoch   int64
	Number  uint64
	Leaving bool
}

type promiseWire struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Epoch  int64
	Number uint64
	Given  bool
}

func init() {
	register(kindClaim, claimToWire, claimFromWire)
	register(kindPromiseRequest, promiseRequestToWire, promiseRequestFromWire)
	register(kindPromise, promiseToWire, promiseFromWire)
}

func claimToWire(c claimer.Claim) claimWire {
	return claimWire{
		Name:        string(c.Name),
		Kind:        uint8(c.Kind),
		Epoch:       int64(c.Epoch),
		Holder:      string(c.Holder),
		Witness:     string(c.Witness),
		By:          string(c.By),
		Attempt:     c.Attempt,
		After:       int64(c.After),
		Start:       int64(c.Start),
		Outstanding: int64(c.Outstanding),
	}
}

func claimFromWire(w claimWire) claimer.Claim {
	return claimer.Claim{
		Name:        claimer.Name(w.Name),
		Kind:        claimer.Kind(w.Kind),
		Epoch:       identifier.Epoch(w.Epoch),
		Holder:      identifier.Node(w.Holder),
		Witness:     identifier.Node(w.Witness),
		By:          identifier.Node(w.By),
		Attempt:     w.Attempt,
		After:       identifier.Offset(w.After),
		Start:       identifier.Offset(w.Start),
		Outstanding: clock.Duration(w.Outstanding),
	}
}

func promiseRequestToWire(r claimer.PromiseRequest) promiseRequestWire {
	return promiseRequestWire{Name: string(r.Name), Epoch: int64(r.Epoch), Number: r.Number, Leaving: r.Leaving}
}

func promiseRequestFromWire(w promiseRequestWire) claimer.PromiseRequest {
	return claimer.PromiseRequest{
		Name: claimer.Name(w.Name), Epoch: identifier.Epoch(w.Epoch), Number: w.Number, Leaving: w.Leaving,
	}
}

func promiseToWire(p claimer.Promise) promiseWire {
	return promiseWire{Name: string(p.Name), Epoch: int64(p.Epoch), Number: p.Number, Given: p.Given}
}

func promiseFromWire(w promiseWire) claimer.Promise {
	return claimer.Promise{
		Name: claimer.Name(w.Name), Epoch: identifier.Epoch(w.Epoch), Number: w.Number, Given: w.Given,
	}
}
