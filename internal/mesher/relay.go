package mesher

// A new configuration is read from the store by the fleet's collector, and passed on by the collectors of the failure
// domains to nodes that wait there for it. A change of the configuration would otherwise cost the store a call of every node.
//
// Example: GET /configuration?from=7&waitMs=28000 is answered when a record of offset 7 or later is known, or with 204.

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/watcher"
)

const (
	configurationPath = "/configuration"
	// relayPause is the wait after a collector gave no answer: half a period of the exchanges, by which another one is found.
	relayPause = 250 * clock.Millisecond
	// longestRelay bounds how long a node may wait for a configuration here.
	longestRelay = 30 * clock.Second
	// largestConfiguration bounds a record that is passed on.
	largestConfiguration = 8 << 20
)

// newestRecord is the newest configuration that a node knows, for those that wait for it.
type newestRecord struct {
	mu      sync.Mutex
	record  watcher.Record
	known   bool
	changed chan struct{}
}

func (n *newestRecord) set(r watcher.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record, n.known = r, true
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// get returns the record if its offset is at least from, or a channel that is closed at the next change.
func (n *newestRecord) get(from identifier.Offset) (watcher.Record, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known && n.record.Offset >= from {
		return n.record, nil
	}
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return watcher.Record{}, n.changed
}

// wait returns the first record of offset from or later, and none when the context ends.
func (n *newestRecord) wait(ctx context.Context, from identifier.Offset) (watcher.Record, bool) {
	for {
		r, changed := n.get(from)
		if changed == nil {
			return r, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return watcher.Record{}, false
		}
	}
}

type wireConfiguration struct {
	Key    string `cbor:"1,keyasint"`
	Offset int64  `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint"`
}

func (n *node) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err != nil || waitMs < 0 {
		http.Error(w, fmt.Sprintf("waitMs: %q is not a time", r.FormValue("waitMs")), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(clock.Duration(waitMs), longestRelay).Std())
	defer cancel()
	record, ok := n.newest.wait(ctx, identifier.Offset(from))
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	data, err := cbor.Marshal(wireConfiguration{Key: record.Key, Offset: int64(record.Offset), Value: record.Value})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

// relayedTopic reads from a collector while its proofs are enough, and from the store otherwise.
type relayedTopic struct {
	watcher.Topic
	node *node
}

// Read waits for records at the collector or at the store. A collector that gives no answer is no failure of the store: until
// another one is found or the proofs have grown old, there is no news.
func (t relayedTopic) Read(ctx context.Context, from identifier.Offset, wait clock.Duration) (watcher.Batch, error) {
	source, ok := t.node.configurationSource()
	if !ok {
		return t.Topic.Read(ctx, from, wait)
	}
	batch, err := t.node.readRelayed(ctx, source, from, wait)
	if err != nil && ctx.Err() == nil {
		t.node.recorder.Dependency("configuration at node "+string(source.Node), err)
		clock.Sleep(ctx, relayPause.Std())
	}
	return batch, nil
}

// retryAtCollector ends the wait after a failed call of the store when a collector has a proof again: a configuration that
// follows an outage closely would otherwise be late by that wait.
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
	batch := watcher.Batch{End: from, Relayed: true}
	query := url.Values{"from": {strconv.FormatInt(int64(from), 10)}, "waitMs": {strconv.FormatInt(int64(wait), 10)}}
	address := "http://" + source.Peer + configurationPath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return batch, err
	}
	response, err := n.waiting.Do(request)
	if err != nil {
		return batch, fmt.Errorf("wait for a configuration: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, largestConfiguration))
	if err != nil {
		return batch, fmt.Errorf("read a configuration: %w", err)
	}
	switch response.StatusCode {
	case http.StatusNoContent:
		return batch, nil
	case http.StatusOK:
	default:
		return batch, fmt.Errorf("wait for a configuration: status %d", response.StatusCode)
	}
	var w wireConfiguration
	if err := cbor.Unmarshal(data, &w); err != nil {
		return batch, fmt.Errorf("decode a configuration: %w", err)
	}
	if identifier.Offset(w.Offset) < from {
		return batch, fmt.Errorf("decode a configuration: offset %d, asked from %d", w.Offset, from)
	}
	if source.Domain != n.options.Settings.Domain {
		n.recorder.Crossed(recorder.Crossing{Cause: "configuration", Reason: "relayed", Received: int64(len(data))})
	}
	batch.Records = []watcher.Record{{Key: w.Key, Value: w.Value, Offset: identifier.Offset(w.Offset)}}
	return batch, nil
}
