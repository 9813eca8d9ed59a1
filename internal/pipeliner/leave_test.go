package pipeliner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller leaves while an answer that closes its connection is under way: its endpoint would go on working for nobody.
func TestCallerThatLeavesAClosingAnswerIsNoticed(t *testing.T) {
	for name, closes := range map[string]bool{"kept connection": false, "closing connection": true} {
		t.Run(name, func(t *testing.T) {
			left := make(chan struct{})
			p := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if closes && MayClose(r.Context()) {
					w.Header().Set("Connection", "close")
				}
				_, _ = io.WriteString(w, "first part")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				close(left)
			})})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			server := &http.Server{
				Handler: p, ConnContext: p.Context, BaseContext: func(net.Listener) context.Context { return ctx },
			}
			go func() { _ = server.Serve(p.Listen(l)) }()
			t.Cleanup(func() { cancel(); _ = server.Close() })
			c, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(c, idempotentRequest("/0/a"))
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.Close, closes)
			assert.NilError(t, c.Close())
			select {
			case <-left:
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the handler's context has not ended 500 ms after the caller left")
			}
		})
	}
}
