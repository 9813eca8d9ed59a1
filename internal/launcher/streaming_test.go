package launcher

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	longBodyBytes = 200 << 20
	// maxHeapGrowth is far smaller than a body, and larger than the buffers of several connections.
	maxHeapGrowth = 48 << 20
)

// A crew manifest of 200 MB is uploaded, and a table of the same size is downloaded by a slow client. A node that held them
// in memory would be killed by its VM's memory limit, with all its other calls.
func (s *testFleet) checkStreaming(t *testing.T) {
	entry := s.member("board").CallerURL()
	tests := map[string]func(t *testing.T){
		"upload": func(t *testing.T) {
			resp := s.stream(t, http.MethodPost, entry+"/uploads/tables", io.LimitReader(zeros{}, longBodyBytes))
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(text), fmt.Sprintf("uploads POST /tables got %d bytes", longBodyBytes)), string(text))
		},
		"download by a slow client": func(t *testing.T) {
			resp := s.stream(t, http.MethodGet, fmt.Sprintf("%s/uploads/tables?bytes=%d", entry, longBodyBytes), http.NoBody)
			n, err := io.CopyN(io.Discard, resp.Body, 1<<20)
			assert.NilError(t, err)
			time.Sleep(time.Second)
			rest, err := io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, n+rest, int64(longBodyBytes))
		},
		"download given up": func(t *testing.T) {
			resp := s.stream(t, http.MethodGet, fmt.Sprintf("%s/uploads/tables?bytes=%d", entry, longBodyBytes), http.NoBody)
			_, err := io.CopyN(io.Discard, resp.Body, 1<<20)
			assert.NilError(t, err)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			grown := watchHeap()
			run(t)
			assert.Assert(t, grown() < maxHeapGrowth, "the heap grew by %d MB", grown()>>20)
		})
	}
	s.awaitNoCalls(t)
}

func (s *testFleet) stream(t *testing.T, method, url string, body io.Reader) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, url, body)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+s.fleet.Keys["captains"])
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	return resp
}

// awaitNoCalls waits until no call is under way: a download that its client aborted must not hold a slot.
func (s *testFleet) awaitNoCalls(t *testing.T) {
	t.Helper()
	var open string
	for range 200 {
		open = ""
		for _, m := range s.fleet.Members {
			if d := m.Node.Dump(); d.Calls+d.Deliveries > 0 {
				open += fmt.Sprintf("%s: %d calls, %d deliveries; ", m.Name, d.Calls, d.Deliveries)
			}
		}
		if open == "" {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal(open)
}

// watchHeap measures the maximum growth of the heap from now on.
func watchHeap() (grown func() uint64) {
	runtime.GC()
	before := heapBytes()
	var maxGrown atomic.Uint64
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			if h := heapBytes(); h > before {
				maxGrown.Store(max(maxGrown.Load(), h-before))
			}
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		select {
		case <-stop:
		default:
			close(stop)
			<-done
		}
		return maxGrown.Load()
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
