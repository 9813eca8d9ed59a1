package mesher

// The end of a backend server under requests is told to all nodes at once, by the node beside it: one message a node and end. The
// reports, which are collected twice a second, would come after the caller's next try.
//
// Example: POST /ends with the end of i-7 and two fingerprints is answered with 204.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/quarantiner"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

const (
	endsPath = "/ends"
	// endReportTimeout bounds how long the failed requests wait until all nodes know: a few round trips between failure domains.
	endReportTimeout = 150 * clock.Millisecond
	// maxEndReports is how many nodes are told at a time.
	maxEndReports = 32
	// maxEndBytes is the upper bound of a message, with two fingerprints for each of some thousand requests.
	maxEndBytes = 64 << 10
)

type wireEnd struct {
	Node         string   `cbor:"1,keyasint"`
	Incarnation  int64    `cbor:"2,keyasint"`
	Number       int64    `cbor:"3,keyasint"`
	Endpoint     string   `cbor:"4,keyasint"`
	Fingerprints []uint64 `cbor:"5,keyasint"`
}

// reportEnd tells all other nodes of an end, and returns when they have answered or the time is up.
func (n *node) reportEnd(e quarantiner.End) {
	data, err := cbor.Marshal(endToWire(e))
	if err != nil {
		n.recorder.Dependency("ends", err)
		return
	}
	var members []exchanger.Member
	n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { members = c.Others() })
	ctx, cancel := context.WithTimeout(context.Background(), endReportTimeout.Std())
	defer cancel()
	var all sync.WaitGroup
	slots := make(chan struct{}, maxEndReports)
	for _, m := range members {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if err := n.sendEnd(ctx, m, data); err != nil {
				n.recorder.Dependency("ends at node "+string(m.Node), err)
			}
		})
	}
	all.Wait()
}

func (n *node) sendEnd(ctx context.Context, m exchanger.Member, data []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.PeerAddress+endsPath, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := n.exchangeClient.Do(request)
	if err != nil {
		return fmt.Errorf("report end: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("report end: status %d", response.StatusCode)
	}
	return nil
}

func (n *node) serveEnd(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxEndBytes))
	if err != nil {
		http.Error(w, err.Error(), reserver.StatusOf(err, http.StatusBadRequest))
		return
	}
	var wire wireEnd
	if err := cbor.Unmarshal(data, &wire); err != nil {
		http.Error(w, fmt.Sprintf("decode end: %v", err), http.StatusBadRequest)
		return
	}
	n.relayer.ApplyEvent(conductor.EndReceived{End: endFromWire(wire)})
	w.WriteHeader(http.StatusNoContent)
}

func endToWire(e quarantiner.End) wireEnd {
	w := wireEnd{Node: string(e.ID.Node), Incarnation: e.ID.Incarnation, Number: e.ID.Number, Endpoint: string(e.Endpoint)}
	for _, f := range e.Fingerprints {
		w.Fingerprints = append(w.Fingerprints, uint64(f))
	}
	return w
}

func endFromWire(w wireEnd) quarantiner.End {
	e := quarantiner.End{
		ID:       quarantiner.EndID{Node: identifier.Node(w.Node), Incarnation: w.Incarnation, Number: w.Number},
		Endpoint: identifier.Endpoint(w.Endpoint),
	}
	for _, f := range w.Fingerprints {
		e.Fingerprints = append(e.Fingerprints, identifier.Fingerprint(f))
	}
	return e
}
