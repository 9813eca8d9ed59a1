package main

// Endpoints decline a part of the requests, and add a second answer to some of their answers, which arrives where the next
// answer on the connection is expected. A request that was declined is offered again under the same id, so the second answer to
// its first offer must not be taken for the answer to the next one.
//
// Example: c3-17 is declined by i-desk-2 with 503 as not run, offered again and run there; the late copy of the 503
// must not make the node offer c3-17 a third time, nor refuse it.

import (
	"fmt"
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
	// declinedShare and spoiledShare are the x of srv_grey (shed) and of garble (extra late) in the site file.
	declinedShare     = 0.45
	spoiledShare      = 0.03
	greyTime          = 6500 * time.Millisecond
	garbleTime        = 5 * time.Second
	rounds            = 9
	roundTime         = 10 * time.Second
	clientsEach       = 16
	requestsPerSecond = 400.0
	work              = 60 * time.Millisecond
	declinedTimeout   = 3 * time.Second
)

// garblingEndpoints are the machines of the endpoints that spoil answers: a share of 0.6 of five.
var garblingEndpoints = []string{"desk-1", "desk-2", "desk-3"}

// runs counts the runs of each request.
type runs struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *runs) add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
	return r.count[id]
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

func runDeclined(w *world, trouble bool) (outcome, error) {
	var grey, garbling atomic.Bool
	ran := runs{count: map[string]int{}}
	behave := func(m *machine) behavior {
		garbles := slices.Contains(garblingEndpoints, m.name)
		return func(c *endpointConnection, r *http.Request) bool {
			return serveDeclining(c, r, w.record, &ran, grey.Load(), garbles && garbling.Load())
		}
	}
	err := w.start(deployment{
		machines: []machineSpec{
			{"desk-1", "abashiri", "desk", 202},
			{"desk-2", "monbetsu", "desk", 202},
			{"desk-3", "wakkanai", "desk", 202},
			{"desk-4", "abashiri", "desk", 202},
			{"desk-5", "monbetsu", "desk", 202},
			{"board-1", "abashiri", "board", 121},
			{"board-2", "monbetsu", "board", 121},
		},
		configuration: standin.Configuration{
			Version: 7,
			Routes: []standin.Route{
				{Name: "book", Host: host, Prefix: "/book/", Service: "desk", Kind: "non_idempotent", TimeoutMs: 3000},
				{Name: "look", Host: host, Prefix: "/look/", Service: "board", Kind: "idempotent", TimeoutMs: 3000, Priority: 2},
			},
			Teams: []standin.Team{{Name: "harbour", Keys: []string{key}, Rate: 5000, Burst: 5000}},
		},
	}, behave)
	if err != nil {
		return cannot, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := make(chan bookAnswer, 100000)
	pause := time.Duration(float64(len(w.machines)*clientsEach) / requestsPerSecond * float64(time.Second))
	for i, m := range w.machines {
		for j := range clientsEach {
			clients.Add(1)
			go func() {
				defer clients.Done()
				book(w.record, m, fmt.Sprintf("c%d.%d", i+1, j+1), pause, stop, answers)
			}()
		}
	}
	for range rounds {
		time.Sleep(roundTime - greyTime)
		grey.Store(trouble)
		w.record.note("endpoints of desk decline: %t", trouble)
		time.Sleep((greyTime - garbleTime) / 2)
		garbling.Store(trouble)
		w.record.note("endpoints %v add second answers: %t", garblingEndpoints, trouble)
		time.Sleep(garbleTime)
		garbling.Store(false)
		w.record.note("no endpoint adds second answers")
		time.Sleep((greyTime - garbleTime) / 2)
		grey.Store(false)
		w.record.note("no endpoint declines")
	}
	close(stop)
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	close(answers)
	return judgeBookings(w.record, answers, &ran), nil
}

// serveDeclining handles a request of an endpoint that may decline it and may add a second answer.
func serveDeclining(c *endpointConnection, r *http.Request, log *record, ran *runs, declines, garbles bool) bool {
	id := r.Header.Get(names.RequestID)
	if err := drain(r); err != nil {
		return false
	}
	e := c.endpoint
	var a []byte
	if declines && rand.Float64() < declinedShare {
		a = e.answerBytes(r, http.StatusServiceUnavailable, "", notRun())
		log.note("%s declined by %s", id, e.id)
	} else {
		e.running.Add(1)
		log.note("%s run %d begins at %s", id, ran.add(id), e.id)
		time.Sleep(work/2 + time.Duration(rand.Int64N(int64(work))))
		e.running.Add(-1)
		a = e.answerBytes(r, http.StatusOK, answerBody(id), signatureField(id))
		log.note("%s run ends at %s", id, e.id)
	}
	if _, err := c.Write(a); err != nil {
		return false
	}
	if garbles && rand.Float64() < spoiledShare {
		c.pending = a
		log.note("%s second answer of %s waits for the next request on its connection", id, e.id)
	}
	return true
}

// bookAnswer is the answer to a booking.
type bookAnswer struct {
	id string
	answer
}

// book sends bookings until stopped.
func book(log *record, m *machine, name string, pause time.Duration, stop <-chan struct{}, answers chan<- bookAnswer) {
	c := &client{address: m.address(outboundPort)}
	defer c.disconnect()
	for number := 1; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(pause/2 + time.Duration(rand.Int64N(int64(pause)))):
		}
		q := request{id: fmt.Sprintf("%s-%d", name, number), method: http.MethodPost, path: "/book/1", body: strings.Repeat("b", 300)}
		log.note("%s sent to %s", q.id, m.name)
		a := c.call(q, declinedTimeout)
		log.note("%s answered %d %v", q.id, a.status, a.err)
		answers <- bookAnswer{q.id, a}
	}
}

// judgeBookings checks TWICE, REFUSED and MIXED.
func judgeBookings(log *record, answers <-chan bookAnswer, ran *runs) outcome {
	statuses := map[int]int{}
	twice, refused, mixed := 0, 0, 0
	for a := range answers {
		statuses[a.status]++
		n := ran.of(a.id)
		if n > 1 {
			twice++
			log.say("TWICE: %s ran %d times and was answered %d", a.id, n, a.status)
		}
		if n > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused++
			log.say("REFUSED: %s was answered %d and ran %d times", a.id, a.status, n)
		}
		if a.status == http.StatusOK && (a.signature != "signed-"+a.id || a.body != answerBody(a.id)) {
			mixed++
			log.say("MIXED: %s got another answer: %s", a.id, a.signature)
		}
	}
	log.say("answers by status: %v; twice %d, refused %d, mixed %d", statuses, twice, refused, mixed)
	if twice+refused+mixed > 0 {
		return broken
	}
	return held
}
