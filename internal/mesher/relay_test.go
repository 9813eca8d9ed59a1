package mesher

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// storeReads returns how many calls a node has made to the store to watch the operators' topic, read from its metrics.
func storeReads(n *runningNode) (calls int) {
	_, text := n.get(n.settings.Listen.Metrics, "/metrics")
	for line := range strings.Lines(text) {
		var count int
		for _, call := range []string{"newest", "read", "wait"} {
			format := `jackdawtide_store_calls_total{topic="operators",call="` + call + `"} %d`
			if _, err := fmt.Sscanf(line, format, &count); err == nil {
				calls += count
			}
		}
	}
	return calls
}

func versionOf(n *runningNode) string {
	_, text := n.get(n.settings.Listen.Peer, "/state")
	_, after, _ := strings.Cut(text, `"version":`)
	return strings.TrimRight(after[:min(2, len(after))], ",}")
}

// Each change of the configuration must reach a node through its collector, without a call of its own to the store: with
// hundreds of nodes those calls would be the largest daily cost.
func TestConfigurationIsRelayedByCollector(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	beside := f.start(t, "beside", "portal")
	entry := f.start(t, "entry", "desk")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	// The node waits at its collector only after it has received a proof there and its first read at the store has ended.
	time.Sleep(time.Second)
	before := storeReads(entry)
	assert.Assert(t, before > 0)
	for version := 2; version < 6; version++ {
		assert.NilError(t, f.operators.Write(context.Background(), "rules", fmt.Appendf(nil, "version %d", version)))
		want := fmt.Sprint(version)
		eventually(t, "version "+want, func() bool { return versionOf(beside) == want && versionOf(entry) == want })
	}
	assert.Assert(t, storeReads(entry) <= before+1, "%d calls before, %d after four changes", before, storeReads(entry))
}

// After the collector has gone, a change of the configuration must still reach the other nodes in time, through the store.
func TestConfigurationIsReadFromStoreWithoutCollector(t *testing.T) {
	f := &fleet{}
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 1")))
	beside := f.start(t, "beside", "portal")
	entry := f.start(t, "entry", "desk")
	eventually(t, "served", func() bool { status, _ := entry.request(); return status == 200 })
	beside.stop()
	<-beside.done
	beside.done <- nil
	assert.NilError(t, f.operators.Write(context.Background(), "rules", []byte("version 2")))
	eventually(t, "version 2", func() bool { return versionOf(entry) == "2" })
}

// A malformed request for orders must be refused with an error that names the parameter and its value.
func TestMalformedOrdersRequest(t *testing.T) {
	f := &fleet{}
	n := f.start(t, "beside", "portal")
	for name, c := range map[string]struct{ query, want string }{
		"no offset":     {query: "?waitMilliseconds=5", want: "from"},
		"negative wait": {query: "?from=1&waitMilliseconds=-5", want: `waitMilliseconds: "-5"`},
	} {
		t.Run(name, func(t *testing.T) {
			status, text := firstAnswer(t, func() (int, string) {
				return n.get(n.settings.Listen.Peer, ordersPath+c.query)
			})
			assert.Equal(t, status, 400, text)
			assert.Assert(t, strings.Contains(text, c.want), text)
		})
	}
}

// The start and the end of an evacuation must reach every node through its collector, and the evacuated endpoints must get no
// requests in between.
func TestEvacuationIsRelayedByCollector(t *testing.T) {
	f := &fleet{}
	ctx := context.Background()
	assert.NilError(t, f.operators.Write(ctx, "rules", []byte("version 1")))
	f.startIn(t, "beside", "portal", "east")
	entry := f.start(t, "entry", "desk")
	served := func() bool { status, _ := entry.request(); return status == 200 }
	eventually(t, "served", served)
	time.Sleep(time.Second)
	before := storeReads(entry)
	assert.NilError(t, f.operators.Write(ctx, "evacuate east", []byte("{}")))
	eventually(t, "refused", func() bool {
		status, text := entry.request()
		return status == 503 && strings.HasPrefix(text, "evacuated")
	})
	assert.NilError(t, f.operators.Write(ctx, "evacuate east", nil))
	eventually(t, "served again", served)
	assert.Assert(t, storeReads(entry) <= before+1, "%d calls before, %d after", before, storeReads(entry))
}

// A node that starts during an evacuation must know of it before it sends its first request.
func TestEvacuationIsKnownAtTheStart(t *testing.T) {
	f := &fleet{}
	ctx := context.Background()
	assert.NilError(t, f.operators.Write(ctx, "rules", []byte("version 1")))
	assert.NilError(t, f.operators.Write(ctx, "evacuate east", []byte("{}")))
	reached := make(chan struct{}, 100)
	f.work = func(*http.Request) { reached <- struct{}{} }
	f.startIn(t, "beside", "portal", "east")
	entry := f.start(t, "entry", "desk")
	eventually(t, "refused", func() bool {
		status, text := entry.request()
		return status == 503 && strings.HasPrefix(text, "evacuated")
	})
	assert.Equal(t, len(reached), 0)
}
