package main

// An endpoint answers an upload before it has read all of it, keeps the connection and reads on. The bytes that it still gets
// must be those that the client sent, in their order.
//
// Example: the client sends blocks 0 to 99; an endpoint that gets blocks 0 to 40 and then block 57 has got other bytes.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	// The upload has the mean size of the site file's manifests; its client sends it block by block.
	uploadBlocks  = 60
	blockBytes    = 1000
	blockPause    = 5 * time.Millisecond
	uploadTimeout = 2 * time.Second
	// earlyAnswerBytes is the size of an early answer, longer than a node buffers.
	earlyAnswerBytes = 100_000
	// earlyAfterBytes is how much of the body an endpoint reads before it answers.
	earlyAfterBytes = 4000
	// earlyShare is the x of garble (early) in the site file, earlyFor its length.
	earlyShare  = 0.4
	earlyFor    = 6 * time.Second
	uploadsEach = 20
)

// earlyEndpoints are the machines of the endpoints that answer early: two of three, where the site file has a share of 0.7.
var earlyEndpoints = []string{"yard-1", "yard-2"}

// uploadResult is what an endpoint got of an upload.
type uploadResult struct {
	id    string
	body  []byte
	whole bool
}

func block(i int) string {
	return fmt.Sprintf("block %04d ", i) + strings.Repeat(string(rune('a'+i%26)), blockBytes-11)
}

func runEarly(w *world, trouble bool) (outcome, error) {
	results := make(chan uploadResult, 10000)
	var early atomic.Bool
	early.Store(trouble)
	err := w.start(deployment{
		machines: []machineSpec{
			{"yard-1", "abashiri", "yard", 202},
			{"yard-2", "monbetsu", "yard", 202},
			{"yard-3", "wakkanai", "yard", 202},
			{"board-1", "wakkanai", "board", 121},
		},
		configuration: standin.Configuration{
			Version: 7,
			Routes: []standin.Route{
				{Name: "manifest", Host: host, Prefix: "/manifest/", Service: "yard", Kind: "upload", TimeoutMs: 2000, Priority: 1},
				{Name: "look", Host: host, Prefix: "/look/", Service: "board", Kind: "idempotent", TimeoutMs: 3000, Priority: 2},
			},
			Teams: []standin.Team{{Name: "harbour", Keys: []string{key}, Rate: 5000, Burst: 5000}},
		},
	}, func(m *machine) behavior {
		answersEarly := slices.Contains(earlyEndpoints, m.name)
		return func(c *endpointConnection, r *http.Request) bool {
			return serveUpload(c, r, w.record, results, answersEarly && early.Load() && rand.Float64() < earlyShare)
		}
	})
	if err != nil {
		return cannot, err
	}
	time.AfterFunc(earlyFor, func() { early.Store(false) })
	var clients sync.WaitGroup
	for i, m := range w.machines {
		for _, framing := range []string{"chunked", "length"} {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := &client{address: m.address(outboundPort)}
				defer c.disconnect()
				for n := range uploadsEach {
					q := request{id: fmt.Sprintf("c%d.%s-%d", i+1, framing, n+1), method: http.MethodPost, path: "/manifest/1"}
					w.record.note("%s sent to %s", q.id, m.name)
					a := c.upload(q, framing == "chunked")
					w.record.note("%s answered %d, body of %d bytes, %v", q.id, a.status, len(a.body), a.err)
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	close(results)
	return judgeUploads(w.record, results), nil
}

// serveUpload handles an upload at an endpoint, which answers it before the body is in if early is set.
func serveUpload(c *endpointConnection, r *http.Request, log *record, results chan<- uploadResult, early bool) bool {
	id := r.Header.Get(names.RequestID)
	log.note("%s runs at %s", id, c.endpoint.id)
	c.endpoint.running.Add(1)
	defer c.endpoint.running.Add(-1)
	var body bytes.Buffer
	if early {
		if _, err := io.CopyN(&body, r.Body, earlyAfterBytes); err == nil {
			c.answer(r, http.StatusOK, strings.Repeat("e", earlyAnswerBytes), signatureField(id))
			log.note("%s answered early by %s, after %d bytes", id, c.endpoint.id, body.Len())
		}
	}
	_, err := io.Copy(&body, r.Body)
	log.note("%s: %s got %d bytes, %v", id, c.endpoint.id, body.Len(), err)
	results <- uploadResult{id: id, body: body.Bytes(), whole: err == nil}
	if !early && err == nil {
		c.answer(r, http.StatusOK, strings.Repeat("e", earlyAnswerBytes), signatureField(id))
	}
	return err == nil
}

// upload sends an upload block by block and reads the answer meanwhile.
func (c *client) upload(q request, chunked bool) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	framing := fmt.Sprintf("Content-Length: %d\r\n", uploadBlocks*blockBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(uploadTimeout + 500*time.Millisecond))
	out := bufio.NewWriter(c.conn)
	sent := make(chan error, 1)
	go func() {
		_, _ = out.Write(q.head(uploadTimeout, framing))
		for i := range uploadBlocks {
			if chunked {
				_, _ = fmt.Fprintf(out, "%x\r\n%s\r\n", blockBytes, block(i))
			} else {
				_, _ = out.WriteString(block(i))
			}
			if err := out.Flush(); err != nil {
				sent <- err
				return
			}
			time.Sleep(blockPause)
		}
		if chunked {
			_, _ = out.WriteString("0\r\n\r\n")
		}
		sent <- out.Flush()
	}()
	a := c.receive(q, answer{kept: c.used})
	if <-sent != nil {
		c.disconnect()
	}
	return a
}

// judgeUploads checks that endpoints got what clients sent, or a beginning of it if the rest did not arrive.
func judgeUploads(log *record, results <-chan uploadResult) outcome {
	var want bytes.Buffer
	for i := range uploadBlocks {
		_, _ = want.WriteString(block(i))
	}
	whole, cut, changed, wholeChanged := 0, 0, 0, 0
	for r := range results {
		same := bytes.HasPrefix(want.Bytes(), r.body)
		switch {
		case !same && r.whole:
			wholeChanged++
			log.say("UNASKED: the body of %s ended regularly at its endpoint after %d of %d bytes, and differs from byte %d on",
				r.id, len(r.body), want.Len(), firstDifference(r.body, want.Bytes()))
		case !same:
			changed++
			log.say("UNASKED: the body of %s differs from byte %d on at its endpoint, then breaks off", r.id,
				firstDifference(r.body, want.Bytes()))
		case r.whole && len(r.body) < want.Len():
			wholeChanged++
			log.say("UNASKED: the body of %s ended regularly at its endpoint after %d of %d bytes", r.id, len(r.body), want.Len())
		case r.whole:
			whole++
		default:
			cut++
		}
	}
	log.say("uploads: whole %d, broken off %d, with other bytes %d, complete with other bytes %d", whole, cut, changed, wholeChanged)
	if changed+wholeChanged > 0 {
		return broken
	}
	return held
}

func firstDifference(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}
