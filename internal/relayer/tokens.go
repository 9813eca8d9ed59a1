package relayer

// A pooled team has one token bucket for the whole fleet, at one node. Other nodes request each token from that node.
//
// Example: POST /tokens with Jackdaw-Team: parish is answered with 200 and Jackdaw-Token: 1, or 0 and Jackdaw-Wait: 80.

import (
	"context"
	"net/http"
	"strconv"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/pooler"
	"github.com/jackdawtide/jackdawtide/internal/requester"
)

// TokensPath is the path at which a node answers requests for tokens.
const TokensPath = "/tokens"

// tokenTimeout is how long a node waits for a token: thirty round trips between failure domains, or the tenth of a second for
// which a VM that has used up its processor share is paused. The shortest latency objectives allow no more.
const tokenTimeout = 100 * clock.Millisecond

// draw requests a token from another node, and returns the conductor's next effect on the request.
func (r *Relayer) draw(ctx context.Context, d conductor.Draw) conductor.Effect {
	started := r.options.Clock.Now()
	grant, err := r.requestToken(ctx, d)
	r.options.Recorder.TokenRequested(drawOutcome(grant, err), r.options.Clock.Now().Sub(started))
	if err != nil && ctx.Err() == nil {
		r.options.Recorder.Dependency("tokens of node "+string(d.Node), err)
	}
	if ctx.Err() != nil {
		r.apply(d.ID, conductor.RequestClosed{ID: d.ID})
		if endedByStop(ctx) {
			return conductor.Refuse{ID: d.ID, Status: http.StatusServiceUnavailable, Reason: conductor.NodeStopping}
		}
		panic(http.ErrAbortHandler)
	}
	return r.apply(d.ID, conductor.TokenDrawn{ID: d.ID, Node: d.Node, Answered: err == nil, Grant: grant})
}

func drawOutcome(g pooler.Grant, err error) string {
	switch {
	case err != nil:
		return "failed"
	case g.Allowed:
		return "granted"
	default:
		return "empty"
	}
}

func (r *Relayer) requestToken(ctx context.Context, d conductor.Draw) (pooler.Grant, error) {
	limited, cancel := context.WithTimeout(ctx, tokenTimeout.Std())
	defer cancel()
	tokenRequest := &requester.Request{
		Method: http.MethodPost,
		URI:    TokensPath,
		Host:   d.Address,
		Header: http.Header{teamField: {string(d.Team)}},
	}
	defer r.countTokenRequest(d, tokenRequest)()
	if d.Back > 0 {
		tokenRequest.Header[returnedTokensField] = []string{strconv.Itoa(d.Back)}
	}
	response, err := r.peers.Do(limited, d.Address, tokenRequest)
	if err != nil {
		// Other connections to a node at which one has failed may be dead as well.
		r.peers.CloseIdle(d.Address)
		return pooler.Grant{}, err
	}
	response.Close(drainBody(response))
	if response.StatusCode != http.StatusOK {
		return pooler.Grant{}, requester.StatusError{Address: d.Address, Status: response.StatusCode}
	}
	token := response.Header.Get(tokenField)
	if token == "" {
		return pooler.Grant{}, NotFromNodeError{Address: d.Address, Status: response.StatusCode, Field: tokenField}
	}
	wait, _ := milliseconds(response.Header, waitField)
	return pooler.Grant{Allowed: token == "1", Wait: wait}, nil
}

// ServeTokens answers another node's request for a token.
func (r *Relayer) ServeTokens(w http.ResponseWriter, request *http.Request) {
	id := r.newID()
	// A request without the field returns no tokens.
	back, _ := strconv.Atoi(request.Header.Get(returnedTokensField))
	effect := r.apply(id, conductor.TokenRequested{
		ID:   id,
		Team: identifier.Team(request.Header.Get(teamField)),
		Back: back,
	})
	h := w.Header()
	h["Date"] = nil
	given, ok := effect.(conductor.Give)
	if !ok || !given.Known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	token := "0"
	if given.Grant.Allowed {
		token = "1"
	}
	h[tokenField] = []string{token}
	setMilliseconds(h, waitField, given.Grant.Wait)
	w.WriteHeader(http.StatusOK)
}
