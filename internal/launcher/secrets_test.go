package launcher

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
)

// A key that leaks into a log file, a dump or the platform's log lets its reader act as that team unnoticed. After each kind
// of request has been sent, all output of the fleet is searched for every key.
func (s *testFleet) checkNoKey(t *testing.T) {
	// An outage of the log makes the nodes write debug log lines.
	s.fleet.Keeper.Set(logkeeper.Switches{Outage: true})
	time.Sleep(1500 * time.Millisecond)
	s.fleet.Keeper.Set(logkeeper.Switches{})
	for _, m := range s.fleet.Members {
		paths := []string{"/dump", "/status", "/debug/vars"}
		for _, id := range s.requests {
			paths = append(paths, "/explain/"+id)
		}
		found := 0
		for _, p := range paths {
			resp, err := http.Get(m.AdminURL() + p)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			s.output.Write(text)
			if resp.StatusCode == http.StatusOK {
				found++
			}
		}
		assert.Assert(t, found > 3, "the admin endpoint of %s explained nothing", m.Name)
		assert.Assert(t, !m.Backend.SawKey(), "the backend server of %s saw a key", m.Name)
	}
	b, err := s.fleet.Keeper.Read(context.Background(), 0, 0, 0)
	assert.NilError(t, err)
	for _, r := range b.Records {
		s.output.Write(r.Data)
	}
	s.logs.mu.Lock()
	defer s.logs.mu.Unlock()
	assert.Assert(t, strings.Contains(s.logs.b.String(), `"level":"debug"`), "the nodes did not log at debug level")
	all := s.output.String() + s.logs.b.String()
	assert.Assert(t, strings.Contains(all, "keyHash") || strings.Contains(all, `"hash"`))
	for _, key := range s.fleet.Keys {
		assert.Assert(t, !strings.Contains(all, strings.TrimPrefix(key, "jt_")), "a key is in some output")
	}
}
