package mesher

// Reports are exchanged twice a second with the failure domain's collector: the node that gathers the reports of its
// domain, answers with those of all nodes, and exchanges with the collectors of other domains more often. A change of the
// local endpoint starts an exchange at once. The same port serves tokens, operators' orders and the state dump.
//
// Example: POST /reports with one report, answered with those of all other nodes that are new.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/exchanger"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
	"github.com/jackdawtide/jackdawtide/internal/registrar"
	"github.com/jackdawtide/jackdawtide/internal/relayer"
	"github.com/jackdawtide/jackdawtide/internal/requester"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

const (
	// exchangeTimeout allows a few round trips between failure domains, and is shorter than the period of the exchanges.
	exchangeTimeout = 400 * clock.Millisecond
	// maxReportsBytes is the upper bound of a message with reports: 10,000 nodes need some 200 bytes each.
	maxReportsBytes = 4 << 20
)

func newPeerClient() *http.Client {
	return &http.Client{Transport: requester.CheckedTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return requester.Dial(ctx, address, exchangeTimeout.Std())
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
		// Otherwise 10 MB of a head are read.
		MaxResponseHeaderBytes: requester.MaxHeadBytes,
	})}
}

func (n *node) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		for n.exchangeOnce(ctx) && ctx.Err() == nil {
			// The node gave no answer, so the exchange is attempted with another one at once.
			continue
		}
		var period clock.Duration
		n.relayer.View(func(c *conductor.Conductor, now clock.Time) { period = c.ExchangePeriod(now) })
		pause := period*9/10 + clock.Duration(rand.Int64N(int64(period)/5))
		timer := time.NewTimer(pause.Std())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-n.exchangeRequested:
		}
		timer.Stop()
	}
}

// exchangeSoon requests an exchange before the end of the current period.
func (n *node) exchangeSoon() {
	select {
	case n.exchangeRequested <- struct{}{}:
	default:
	}
}

// exchangeOnce exchanges reports with one node, and reports whether to attempt it with another one at once. A failed
// search for a missing member is not followed by another at once, since that member may be gone for good.
func (n *node) exchangeOnce(ctx context.Context) bool {
	var exchange conductor.ReportExchange
	var ok bool
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) { exchange, ok = c.Ask(now) })
	if !ok {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout.Std())
	defer cancel()
	node := exchange.Member.Node
	answer, proof, err := n.exchangeReports(limited, exchange.Member, exchange.Question)
	if err != nil {
		n.recorder.Dependency("reports", err)
		n.relayer.ApplyEvent(conductor.PeerFailed{Node: node, Sought: exchange.Seeks})
		return !exchange.Seeks
	}
	n.relayer.ApplyEvent(conductor.PeerAnswered{Node: node, Answer: answer})
	if proof != nil {
		n.relayer.ApplyEvent(*proof)
		n.confirmation.notify()
	}
	return false
}

// exchangeReports sends a question to a member, and returns its answer and the proof of its configuration if it has one.
func (n *node) exchangeReports(
	ctx context.Context,
	member exchanger.Member,
	question exchanger.Question,
) (exchanger.Answer, *conductor.ProofReceived, error) {
	body, err := exchanger.EncodeQuestion(question)
	if err != nil {
		return exchanger.Answer{}, nil, err
	}
	requestedAt := clock.Boot{}.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+member.PeerAddress+"/reports", bytes.NewReader(body))
	if err != nil {
		return exchanger.Answer{}, nil, err
	}
	response, err := n.exchangeClient.Do(request)
	if err != nil {
		return exchanger.Answer{}, nil, fmt.Errorf("exchange reports: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportsBytes))
	if err != nil {
		return exchanger.Answer{}, nil, fmt.Errorf("read reports: %w", err)
	}
	if member.Domain != n.options.Settings.Domain {
		n.recorder.Crossed(recorder.Crossing{Cause: "report", Reason: "asked", Sent: int64(len(body)), Received: int64(len(data))})
	}
	answer, err := exchanger.DecodeAnswer(data)
	if err != nil {
		return exchanger.Answer{}, nil, err
	}
	n.logRefusedReports(member.Node, answer.Refused)
	proof, ok := relayer.ReadProof(response.Header, requestedAt)
	if !ok {
		return answer, nil, nil
	}
	return answer, &conductor.ProofReceived{From: member.Node, Version: proof.Version, AsOf: proof.AsOf, Next: proof.Next}, nil
}

func (n *node) peerRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/reports", n.serveReports).Methods(http.MethodPost)
	router.HandleFunc(relayer.TokensPath, n.relayer.ServeTokens).Methods(http.MethodPost)
	router.HandleFunc(endsPath, n.serveEnd).Methods(http.MethodPost)
	router.HandleFunc(ordersPath, n.serveOrders).Methods(http.MethodGet)
	router.HandleFunc("/state", n.serveState).Methods(http.MethodGet)
	return router
}

func (n *node) serveReports(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxReportsBytes))
	if err != nil {
		http.Error(w, err.Error(), reserver.StatusOf(err, http.StatusBadRequest))
		return
	}
	question, err := exchanger.DecodeQuestion(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.logRefusedReports(question.Report.Member.Node, question.Refused)
	var reply exchanger.Answer
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) { reply = c.Answer(question, now) })
	answer, err := exchanger.EncodeAnswer(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	n.relayer.SetProof(w.Header())
	_, _ = w.Write(answer)
}

// logRefusedReports logs the reports that another node passed on and that could not be decoded.
func (n *node) logRefusedReports(from identifier.Node, refused []error) {
	for _, err := range refused {
		n.recorder.Event("report refused", "from", string(from), "error", err.Error())
	}
}

// serveState serves a dump of the node's state for debugging.
func (n *node) serveState(w http.ResponseWriter, _ *http.Request) {
	var state conductor.State
	n.relayer.View(func(c *conductor.Conductor, now clock.Time) { state = c.Dump(now) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state.Fields()); err != nil {
		n.recorder.Event("state dump not sent", "error", err.Error())
	}
}

// endpoint identifies the endpoint beside this node.
func (n *node) endpoint() registrar.Options {
	s := n.options.Settings
	return registrar.Options{Service: s.Service, Address: s.Endpoint.String()}
}

func (n *node) announcements() http.Handler {
	return n.options.Platform.Announcements(
		func(a registrar.Announcement) error {
			if err := n.endpoint().Check(a); err != nil {
				return err
			}
			n.relayer.ApplyEvent(conductor.EndpointAnnounced{Announcement: a})
			if a.Leaving {
				n.awaitRecord()
			}
			return nil
		},
		func(id identifier.Endpoint) {
			n.relayer.ApplyEvent(conductor.EndpointRemoved{Endpoint: id})
			n.awaitRecord()
		},
		func(err error) { n.recorder.Event("heartbeat refused", "error", err.Error()) },
	)
}
