package announcer_test

import (
	"context"
	"io"
	"net/http"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/jackdawtide/jackdawtide/pkg/announcer"
)

const node = "http://127.0.0.1:8081"

var busy atomic.Int64

func serve(w http.ResponseWriter, r *http.Request) {
	busy.Add(1)
	defer busy.Add(-1)
	w.Header().Set("Jackdawtide-Call", r.Header.Get("Jackdawtide-Call"))
	// The request's context ends when the caller has gone or its deadline has passed, and the nested call with it.
	q, _ := http.NewRequestWithContext(r.Context(), http.MethodGet, node+"/ice/bulletins", http.NoBody)
	q.Header.Set("Jackdawtide-Call", r.Header.Get("Jackdawtide-Call"))
	ice, err := http.DefaultClient.Do(q)
	if err != nil {
		http.Error(w, "ice conditions are missing", http.StatusBadGateway)
		return
	}
	defer ice.Body.Close()
	w.WriteHeader(ice.StatusCode)
	_, _ = io.Copy(w, ice.Body)
}

func Example() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: "127.0.0.1:9000", Handler: http.HandlerFunc(serve)}
	go func() { _ = server.ListenAndServe() }()
	board := announcer.Backend{
		Endpoint: "slotBoard-1", Service: "slotBoard", Address: server.Addr, Slots: 100, ConnectionLimit: 700,
	}
	a, err := announcer.Announce(ctx, node, board, func() float64 { return float64(busy.Load()) / 100 })
	if err != nil {
		panic(err)
	}
	<-ctx.Done()
	_ = a.Leave(context.Background())
	_ = server.Shutdown(context.Background())
}
