package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawtide/jackdawtide/platform"
)

const (
	// uploadBytes is the size of an upload's body; chunkPause is the time between two pieces of it.
	uploadBytes = 100_000
	chunkPause  = 50 * time.Millisecond
	// answerSlack is how long after its route's timeout a request must have its final answer.
	answerSlack = 500 * time.Millisecond
	// minUnanswered and unansweredShare are how many requests, and more than which part of those that last longer than the
	// timeout, may have no answer by then.
	minUnanswered   = 8
	unansweredShare = 0.25
)

// uploadConfiguration returns a configuration with one upload route.
func uploadConfiguration(version int, timeout time.Duration) []byte {
	data, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": []map[string]any{{
			"name": "r-scan", "host": host, "pathPrefix": "/scan/", "kind": "upload",
			"timeout": fmt.Sprintf("%dms", timeout.Milliseconds()), "slo": "300ms",
			"priority": 1, "service": service, "maxAttempts": 2, "noAuth": true,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 1684, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// upload is an upload whose body takes some time to send; its caller waits for a time and reads while it sends.
type upload struct {
	id             string
	lasts, patient time.Duration
}

// send sends an upload and records its answer, if there is one before the caller leaves.
func (u upload) send(r *record, n *node) {
	begun := time.Now()
	r.addSent(u.id, n.name)
	c, err := net.Dial("tcp", n.outbound)
	if err != nil {
		r.addAnswer(u.id, 0)
		return
	}
	defer func() { _ = c.Close() }()
	leaves := begun.Add(u.patient)
	if err := c.SetDeadline(leaves); err != nil {
		return
	}
	h := platform.Headers()
	head := fmt.Sprintf("POST /scan/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		host, h.RequestID, u.id, h.TimeLeft, u.patient.Milliseconds(), uploadBytes)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		status := 0
		if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		r.addAnswer(u.id, status)
	}()
	piece := bytes.Repeat([]byte{'s'}, uploadBytes*int(chunkPause)/int(u.lasts)+1)
	_, err = c.Write([]byte(head))
	for sent := 0; err == nil && sent < uploadBytes && time.Now().Before(leaves); {
		n := min(len(piece), uploadBytes-sent)
		_, err = c.Write(piece[:n])
		sent += n
		select {
		case <-answered:
			return
		case <-time.After(chunkPause):
		}
	}
	<-answered
}

// playLateTimeout shortens a route's timeout to less than uploads over a slow line last.
func playLateTimeout(ctx context.Context, s setup) (int, error) {
	const (
		nodes   = 3
		uploads = 12
		// applied is well beyond the time within which a configuration has to be in force.
		applied = 4 * time.Second
	)
	timeout := 5 * time.Second
	f, err := newFleet(ctx, s.directory, soundMachines(nodes), uploadConfiguration(7, timeout))
	defer f.close()
	if err != nil {
		return notRun, err
	}
	f.record.note("version 7: the route's timeout is %v", timeout)
	if err := f.pause(5 * time.Second); err != nil {
		return notRun, err
	}
	if s.trouble {
		timeout = time.Second
		f.store.Write(platform.OperatorsTopic, platform.ConfigurationKey, uploadConfiguration(9, timeout))
		f.record.note("version 9 is acknowledged: the route's timeout is %v", timeout)
	}
	if err := f.pause(applied); err != nil {
		return notRun, err
	}
	var sending sync.WaitGroup
	for i := range uploads {
		n := f.nodes[i%nodes]
		sending.Go(func() {
			upload{id: fmt.Sprintf("within-%d", i), lasts: 2500 * time.Millisecond, patient: 3 * time.Second}.send(f.record, n)
		})
		sending.Go(func() {
			upload{id: fmt.Sprintf("beyond-%d", i), lasts: 4 * time.Second, patient: 3 * time.Second}.send(f.record, n)
		})
		time.Sleep(200 * time.Millisecond)
	}
	sending.Wait()
	return judgeTimeout(f, timeout, s.record)
}

// judgeTimeout writes the record and counts the requests without a final answer in time. Those whose callers left before do not
// count.
func judgeTimeout(f *fleet, timeout time.Duration, path string) (int, error) {
	if err := f.record.write(path); err != nil {
		return notRun, err
	}
	lasting, unanswered, never := 0, 0, 0
	for _, q := range f.record.sorted() {
		took := q.answered - q.sent
		if took <= timeout {
			continue
		}
		lasting++
		if took > timeout+answerSlack {
			unanswered++
		}
		if q.status == 0 {
			never++
		}
	}
	fmt.Printf("%d requests lasted longer than the timeout of %v; %d had no answer %v later, %d never got one\n",
		lasting, timeout, unanswered, answerSlack, never)
	if unanswered >= minUnanswered && float64(unanswered) > unansweredShare*float64(lasting) {
		return broken, nil
	}
	return held, nil
}
