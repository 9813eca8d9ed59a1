package mesher

// Operators' orders, such as a new configuration or the evacuation of a failure domain, are read from the store by the
// fleet's collector and relayed by the collectors of the failure domains to the nodes that wait for them there.
// Otherwise each order would cause a call to the store by every node.
//
// Example: GET /orders?from=7&waitMilliseconds=28000 is answered with the records from offset 7 on as soon as there is one,
// or with 204.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

const (
	ordersPath    = "/orders"
	waitParameter = "waitMilliseconds"
	// collectorRetryPause is the pause after a collector gave no answer: half a period of the exchanges, which find another
	// collector.
	collectorRetryPause = 250 * clock.Millisecond
	// maxOrdersWait is the longest time for which another node may wait for orders here.
	maxOrdersWait = 30 * clock.Second
	// maxOrdersBytes is the upper bound of an answer with orders.
	maxOrdersBytes = 8 << 20
)

type wireRecord struct {
	Key    string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint,omitempty"`
}

func (n *node) serveOrders(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.FormValue(waitParameter), 10, 64)
	if err != nil || wait < 0 {
		http.Error(w, fmt.Sprintf("%s: %q is not a time", waitParameter, r.FormValue(waitParameter)), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(clock.Duration(wait), maxOrdersWait).Std())
	defer cancel()
	records := n.orders.wait(ctx, identifier.Offset(from))
	if len(records) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	wire := make([]wireRecord, 0, len(records))
	for _, r := range records {
		wire = append(wire, wireRecord{Key: r.Key, Offset: int64(r.Offset), Value: r.Value})
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

// relayedTopic reads from a collector while that has a sufficiently fresh proof, and from the store otherwise.
type relayedTopic struct {
	watcher.Topic
	node *node
}

// IsRelayed reports whether the next read goes to a collector.
func (t relayedTopic) IsRelayed() bool {
	_, ok := t.node.configurationSource()
	return ok
}

// Read waits for records at the collector or at the store. A collector that gives no answer is not a failure of the store: an
// empty batch is returned until another collector is found or the proofs have become too old.
func (t relayedTopic) Read(ctx context.Context, from identifier.Offset, wait clock.Duration) (watcher.Batch, error) {
	source, ok := t.node.configurationSource()
	if !ok {
		return t.readStore(ctx, from, wait)
	}
	batch, err := t.node.readRelayed(ctx, source, from, wait)
	if err != nil && ctx.Err() == nil {
		t.node.recorder.Dependency("orders at node "+string(source.Node), err)
		clock.Sleep(ctx, collectorRetryPause.Std())
	}
	return batch, nil
}

// readStore reads from the store, and if that fails, from a collector that still has a proof.
func (t relayedTopic) readStore(ctx context.Context, from identifier.Offset, wait clock.Duration) (watcher.Batch, error) {
	batch, storeErr := t.Topic.Read(ctx, from, wait)
	var dropped watcher.DroppedError
	if storeErr == nil || errors.As(storeErr, &dropped) {
		return batch, storeErr
	}
	var source exchanger.Member
	known := false
	boot := clock.Boot{}.Now()
	t.node.relayer.View(func(c *conductor.Conductor, now clock.Time) { source, known = c.ProvingNode(now, boot) })
	if !known {
		return batch, storeErr
	}
	relayed, err := t.node.readRelayed(ctx, source, from, 0)
	if err != nil {
		t.node.recorder.Dependency("orders at node "+string(source.Node), err)
	}
	if len(relayed.Records) == 0 {
		return batch, storeErr
	}
	return relayed, nil
}

// retryAtCollector ends the backoff after a failed call to the store once a collector has a proof again: a configuration that
// is published soon after an outage would otherwise be delayed by that backoff.
func (n *node) retryAtCollector() {
	if _, ok := n.configurationSource(); ok {
		n.configurations.Retry()
	}
}

func (n *node) configurationSource() (source exchanger.Member, ok bool) {
	boot := clock.Boot{}.Now()
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) { source, ok = c.ConfigurationSource(now, boot) })
	return source, ok
}

func (n *node) readRelayed(
	ctx context.Context,
	source exchanger.Member,
	from identifier.Offset,
	wait clock.Duration,
) (watcher.Batch, error) {
	batch := watcher.Batch{End: from, Relayed: true, From: source.Node}
	query := url.Values{"from": {strconv.FormatInt(int64(from), 10)}, waitParameter: {strconv.FormatInt(int64(wait), 10)}}
	address := "http://" + source.PeerAddress + ordersPath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return batch, err
	}
	response, err := n.longPollClient.Do(request)
	if err != nil {
		return batch, fmt.Errorf("wait for orders: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxOrdersBytes))
	if err != nil {
		return batch, fmt.Errorf("read orders: %w", err)
	}
	switch response.StatusCode {
	case http.StatusNoContent:
		return batch, nil
	case http.StatusOK:
	default:
		return batch, fmt.Errorf("wait for orders: status %d", response.StatusCode)
	}
	var wire []wireRecord
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return batch, fmt.Errorf("decode orders: %w", err)
	}
	for _, w := range wire {
		if identifier.Offset(w.Offset) < from {
			return batch, fmt.Errorf("decode orders: got offset %d, requested offsets from %d", w.Offset, from)
		}
		batch.Records = append(batch.Records, watcher.Record{Key: w.Key, Value: w.Value, Offset: identifier.Offset(w.Offset)})
	}
	if source.Domain != n.options.Settings.Domain {
		n.recorder.Crossed(recorder.Crossing{Cause: "configuration", Reason: "relayed", Received: int64(len(data))})
	}
	return batch, nil
}
