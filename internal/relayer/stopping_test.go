package relayer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// serveWith starts a server whose requests' contexts end with the given one.
func serveWith(ctx context.Context, t *testing.T, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// A node ends while a request is at work: a caller whose connection is only closed can't tell whether the node has read its
// request, and one that is told "not run" of a request at work would be charged twice.
func TestRequestsAtWorkAreAnsweredWhenTheNodeEnds(t *testing.T) {
	for name, test := range map[string]struct {
		kind matcher.Kind
		// endpoint is whether the request gets to an endpoint; otherwise it waits for one.
		endpoint bool
		status   int
	}{
		"idempotent":              {kind: matcher.Idempotent, endpoint: true, status: 502},
		"not idempotent":          {kind: matcher.NonIdempotent, endpoint: true, status: 502},
		"waiting for an endpoint": {kind: matcher.NonIdempotent, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			begun, cancelled := make(chan struct{}, 2), make(chan struct{}, 2)
			entry, _, _ := pair(t, configurationOf(test.kind, 1), func(_ http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				<-r.Context().Done()
				cancelled <- struct{}{}
			})
			if !test.endpoint {
				entry = newNode(t, "alone", "desk", newEndpoint(t, respondWith("desk")))
				entry.configure(t, configurationOf(test.kind, 1))
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			entry.outbound = serveWith(ctx, t, entry.ServeOutbound)
			go func() {
				if test.endpoint {
					<-begun
				}
				cancel(ErrStopped)
			}()
			got := sendRequest(t, entry, nil)
			assert.Equal(t, got.StatusCode, test.status, got.text)
			assert.Equal(t, got.text, "nodeStopping\n")
			if test.endpoint {
				<-cancelled
			}
		})
	}
}

// The node beside the endpoint ends while the endpoint is at work: the caller's own node must learn that the request may have
// run, and answer its caller.
func TestSendingNodeAnswersWhenTheNodeBesideTheEndpointEnds(t *testing.T) {
	begun := make(chan struct{}, 1)
	entry, beside, _ := pair(t, configurationOf(matcher.NonIdempotent, 1), func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	inbound := serveWith(ctx, t, beside.ServeInbound)
	m := beside.member
	m.DeliveryAddress, m.Sequence = inbound.Listener.Addr().String(), m.Sequence+1
	learnMember(entry, m)
	go func() {
		<-begun
		cancel(ErrStopped)
	}()
	got := sendRequest(t, entry, nil)
	assert.Equal(t, got.StatusCode, 502)
	assert.Equal(t, got.text, "inDoubt\n")
}
