package launcher

import (
	"context"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller's request passes through three services on several nodes. If any hop failed, the caller would get no answer, or
// one without the nested services' parts.
func TestCallPassesWholeChain(t *testing.T) {
	plan, err := PlanOf("kitakaze")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	f, err := Start(ctx, Options{Plan: plan, Logs: os.Stderr})
	assert.NilError(t, err)
	defer f.Close()
	time.Sleep(time.Second)
	for _, m := range f.Members {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.CallerURL()+"/bookings/mine", http.NoBody)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+f.Keys["captains"])
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		t.Log(resp.StatusCode, string(body))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	for _, m := range f.Members {
		assert.Assert(t, !m.Backend.SawKey())
	}
}
