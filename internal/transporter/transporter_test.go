package transporter

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

func callText(ctx context.Context, n *Transporter, to Peer, body string) (string, AnswerTail, error) {
	head := CallHead{Service: "ice", Method: "POST", Path: "/x", Allowance: 3, ContentLength: int64(len(body))}
	a, _, err := n.Call(ctx, to, head, strings.NewReader(body))
	if err != nil {
		return "", AnswerTail{}, err
	}
	b, err := io.ReadAll(a.Body)
	tail, _ := a.Tail()
	return string(b), tail, err
}

func TestCallsShareOneConnection(t *testing.T) {
	f := newFleet(t)
	a, peerA := f.start("a", funcHandler{call: echo}, nil)
	b, peerB := f.start("b", funcHandler{call: echo}, nil)
	var wait sync.WaitGroup
	for i := range 50 {
		wait.Go(func() {
			want := strings.Repeat("x", i*700)
			got, tail, err := callText(context.Background(), a, peerB, want)
			assert.Check(t, err)
			assert.Check(t, got == want)
			assert.Check(t, tail == AnswerTail{Allowance: 3, Threshold: 7})
		})
	}
	wait.Wait()
	_, _, err := callText(context.Background(), b, peerA, "back")
	assert.NilError(t, err)
	assert.Equal(t, a.Stats().Links, 1)
	assert.Equal(t, b.Stats().Links, 1)
}

func TestControlMessagesOfAllSizesArrive(t *testing.T) {
	f := newFleet(t)
	got := make(chan []byte, 10)
	a, _ := f.start("a", funcHandler{}, nil)
	_, peerB := f.start("b", funcHandler{control: func(from identifier.Node, m []byte) {
		assert.Check(t, from == "a")
		got <- m
	}}, nil)
	for _, size := range []int{0, 1, 5000, 70_000, 1 << 20} {
		want := bytes.Repeat([]byte{7}, size)
		assert.NilError(t, a.SendControl(peerB, want))
		select {
		case m := <-got:
			assert.Assert(t, bytes.Equal(m, want))
		case <-time.After(5 * time.Second):
			t.Fatalf("control message of %d bytes did not arrive within 5 s", size)
		}
	}
	assert.ErrorType(t, a.SendControl(peerB, make([]byte, 1<<20+1)), TooLargeError{})
}
