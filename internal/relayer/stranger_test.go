package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/matcher"
)

// Guards against an answer that no node gave, such as that of another process at a node's former address or one of the HTTP server,
// being passed on as the endpoint's.
func TestAnswerThatNoNodeGaveIsNotTheEndpoints(t *testing.T) {
	tests := map[string]string{
		"a refusal of the HTTP server":  "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n400 Bad Request",
		"a success of another process":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"a promise of another process":  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"an outcome of another process": "HTTP/1.1 503 Service Unavailable\r\n" + outcomeField + ": declined\r\nContent-Length: 0\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(n net.Conn) {
				_, _ = n.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(n, text)
			})
			entry := newNode(t, "entry", "desk", newEndpoint(t, respondWith("desk")))
			entry.configure(t, configurationOf(matcher.NonIdempotent, 1))
			a := newNode(t, "a", "portal", newEndpoint(t, respondWith("portal")))
			m := a.member
			m.DeliveryAddress = address
			learnMember(entry, m)
			got := sendRequest(t, entry, nil)
			assert.Equal(t, got.StatusCode, http.StatusBadGateway)
			assert.Equal(t, got.text, string(conductor.InDoubt)+"\n")
		})
	}
}

// Guards against a token that is counted as refused because another process answers at the address of the node that holds the bucket.
func TestTokenAnswerThatNoNodeGaveIsAnError(t *testing.T) {
	address := listen(t, func(n net.Conn) {
		_, _ = n.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	n := newNode(t, "a", "desk", newEndpoint(t, respondWith("desk")))
	_, err := n.requestToken(context.Background(), conductor.Draw{Address: address, Team: "parish"})
	assert.ErrorContains(t, err, tokenField)
}
