package relayer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against a request that is refused as not run while it runs, since its second offer was passed on by a node that had been
// paused, and the connection of the first offer had forgotten the request by then.
func TestCopyOfRefusalIsNotTakenForOfferThatComesLate(t *testing.T) {
	const left = 100 * clock.Millisecond
	e, counts := newCopyingEndpoint(t, 3)
	a := newNode(t, "a", "portal", e)
	a.configure(t, configurationOf(matcher.NonIdempotent, 1))
	offer := func(id string) (outcome string) {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, a.inbound.URL+"/obs/1", nil)
		assert.NilError(t, err)
		request.Host = "h.example"
		request.Header.Set(names.RequestID, id)
		request.Header.Set(callField, handover{left: left, queueTimeout: left, due: left, endpoint: "i-a", once: true}.String())
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.Header.Get(outcomeField)
	}
	assert.Equal(t, offer("x"), "declined")
	time.Sleep(left.Std() + 1100*time.Millisecond)
	assert.Equal(t, offer("y"), "declined")
	assert.Equal(t, offer("x"), "")
	assert.Equal(t, counts.of("x"), 1)
}
