package main

// An endpoint sends bytes that are not an answer: one line without an end. The node beside it must not hold more of them than its
// memory allows: a node that the platform kills for that loses all requests that its clients have under way elsewhere.
//
// Example: of a line of zero bytes, the node beside the endpoint buffers all that arrives until the request's deadline.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawtide/jackdawtide/platform/standin"
)

const (
	// spoiledAnswers is the x of garble in the site file, garbleFor its length. One of the three endpoints of a service spoils
	// answers; the file has a share of 0.35.
	spoiledAnswers   = 0.02
	garbleFor        = 5500 * time.Millisecond
	spoiledClients   = 12
	spoiledTimeout   = 6 * time.Second
	lookWork         = 120 * time.Millisecond
	spoiledRounds    = 3
	spoiledRoundTime = 15 * time.Second
	// allowedLost is how many requests may be lost in this way.
	allowedLost = 3
	// contact is how long a node must have run, since it was started, for its machine to be in touch.
	contact = 3 * time.Second
)

func runSpoiled(w *world, trouble bool) (outcome, error) {
	var garbling atomic.Bool
	ran := runs{count: map[string]int{}}
	behave := func(m *machine) behavior {
		return func(c *endpointConnection, r *http.Request) bool {
			id := r.Header.Get(names.RequestID)
			if drain(r) != nil {
				return false
			}
			w.record.note("%s run %d begins at %s", id, ran.add(id), c.endpoint.id)
			time.Sleep(lookWork/2 + time.Duration(rand.Int64N(int64(lookWork))))
			if m.name == "watch-1" && garbling.Load() && rand.Float64() < spoiledAnswers {
				w.record.note("%s: %s sends bytes that are no answer", id, c.endpoint.id)
				w.record.note("%s: %s has sent %d MB", id, c.endpoint.id, c.sendLine()>>20)
				return false
			}
			c.answer(r, http.StatusOK, answerBody(id), signatureField(id))
			return true
		}
	}
	err := w.start(deployment{
		machines: []machineSpec{
			{"watch-1", "abashiri", "watch", 46},
			{"watch-2", "monbetsu", "watch", 46},
			{"watch-3", "wakkanai", "watch", 46},
			{"board-1", "abashiri", "board", 121},
			{"board-2", "monbetsu", "board", 121},
			{"board-3", "wakkanai", "board", 121},
		},
		configuration: standin.Configuration{
			Version: 7,
			Routes: []standin.Route{
				{Name: "bulletin", Host: host, Prefix: "/bulletin/", Service: "watch", Kind: "idempotent", TimeoutMs: 6000, Priority: 1},
				{Name: "look", Host: host, Prefix: "/look/", Service: "board", Kind: "idempotent", TimeoutMs: 6000, Priority: 2},
			},
			Teams: []standin.Team{{Name: "harbour", Keys: []string{key}, Rate: 5000, Burst: 5000}},
		},
	}, behave)
	if err != nil {
		return cannot, err
	}
	go w.enforceMemory()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var lost, served atomic.Int64
	for i, m := range w.machines {
		for j := range spoiledClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := &client{address: m.address(outboundPort)}
				defer c.disconnect()
				for number := 1; ; number++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.Int64N(int64(100 * time.Millisecond)))):
					}
					path := "/look/1"
					if j%3 == 0 {
						path = "/bulletin/1"
					}
					q := request{id: fmt.Sprintf("c%d.%d-%d", i+1, j+1, number), method: http.MethodGet, path: path}
					w.record.note("%s sent to %s for %s", q.id, m.name, path)
					begun := m.startedAt()
					a := c.call(q, spoiledTimeout)
					w.record.note("%s answered %d %v", q.id, a.status, a.err)
					switch {
					case a.status == http.StatusOK:
						served.Add(1)
					case a.status == 0 && a.kept && path == "/look/1" && ran.of(q.id) > 0 && time.Since(begun) >= contact:
						lost.Add(1)
						w.record.say("LOST: %s was passed on by %s to a sound endpoint, its kept connection ended without an answer", q.id, m.name)
					}
				}
			}()
		}
	}
	for range spoiledRounds {
		time.Sleep(spoiledRoundTime - garbleFor)
		garbling.Store(trouble)
		w.record.note("endpoint i-watch-1 spoils answers: %t", trouble)
		time.Sleep(garbleFor)
		garbling.Store(false)
	}
	close(stop)
	clients.Wait()
	kills := 0
	for _, m := range w.machines {
		kills += m.kills
	}
	w.record.say("served %d, lost %d, nodes killed because they exceeded their memory %d", served.Load(), lost.Load(), kills)
	if lost.Load() > allowedLost {
		return broken, nil
	}
	return held, nil
}

// sendLine sends zero bytes until the connection ends, and returns how many were sent.
func (c *endpointConnection) sendLine() int {
	zeros := make([]byte, 1<<20)
	sent := 0
	for {
		n, err := c.Write(zeros)
		sent += n
		if err != nil {
			return sent
		}
	}
}
