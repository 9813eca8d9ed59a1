package relayer

// The fields in which an endpoint's answer says how the endpoint is to be treated are read here; the answer is forwarded
// with them unchanged.
//
// Example: a limit of 41.8 is Notice{Limited: true, PerSecond: 41.8}, one of "many" is Notice{Unreadable: true}.

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/conductor"
)

// LimitError reports a rate limit in an answer that can't be read.
type LimitError struct {
	Field string
	Value string
}

// Error names the field, its value and the expected one.
func (e LimitError) Error() string {
	return fmt.Sprintf("header field %s is %q, expected requests a second as a decimal number from 0", e.Field, e.Value)
}

// maxLimit is the highest rate limit that is read as such; higher ones count as this one.
const maxLimit = 1e6

// readNotice returns what an answer says about its endpoint. With an error, the rest of the notice is valid.
func (r *Relayer) readNotice(answer http.Header) (conductor.Notice, error) {
	h := &r.options.Headers
	// Canonical keys are looked up directly, since this is done for every answer.
	n := conductor.Notice{}
	if values := answer[h.Leaving]; len(values) > 0 {
		n.Leaving = values[0] == "1"
	}
	values := answer[h.Limit]
	if len(values) == 0 {
		return n, nil
	}
	limit, ok := parseLimit(values)
	if !ok {
		n.Unreadable = true
		return n, LimitError{Field: h.Limit, Value: strings.Join(values, ", ")}
	}
	n.Limited, n.PerSecond = true, limit
	return n, nil
}

func parseLimit(values []string) (float64, bool) {
	if len(values) != 1 || strings.ContainsAny(values[0], "xX_") {
		return 0, false
	}
	limit, err := strconv.ParseFloat(values[0], 64)
	// The comparison is false for NaN too.
	if err != nil || !(limit >= 0) || math.IsInf(limit, 0) {
		return 0, false
	}
	return min(limit, maxLimit), true
}

// noticeIn returns what an answer says about its endpoint, and logs what can't be read.
func (r *Relayer) noticeIn(answer http.Header) conductor.Notice {
	n, err := r.readNotice(answer)
	if err != nil {
		r.options.Recorder.Dependency("endpoint", err)
	}
	return n
}

// ownNotice returns what an answer of the local endpoint says about it.
func (r *Relayer) ownNotice(answer http.Header) conductor.Notice {
	n := r.noticeIn(answer)
	if n != (conductor.Notice{}) {
		r.noticesUsed.Store(true)
	}
	return n
}

// reportNotice passes on to the conductor what the local endpoint's answer to a delivery says about the endpoint.
func (r *Relayer) reportNotice(id conductor.CallID, answer http.Header) {
	n := r.ownNotice(answer)
	if r.noticesUsed.Load() {
		r.ApplyEvent(conductor.NoticeReceived{ID: id, Notice: n})
	}
}

// setPassedLimit tells the node beside an endpoint what this node knows of the endpoint's limit.
func setPassedLimit(h http.Header, n conductor.Notice) {
	if n.Limited {
		h[limitField] = []string{strconv.FormatFloat(n.PerSecond, 'g', -1, 64)}
	}
}

// readPassedLimit returns what the sending node knows of the local endpoint's limit.
func (r *Relayer) readPassedLimit(h http.Header) conductor.Notice {
	values := h[limitField]
	if len(values) == 0 {
		return conductor.Notice{}
	}
	limit, ok := parseLimit(values)
	if !ok {
		r.options.Recorder.Dependency("node", LimitError{Field: limitField, Value: strings.Join(values, ", ")})
		return conductor.Notice{}
	}
	r.noticesUsed.Store(true)
	return conductor.Notice{Limited: true, PerSecond: limit}
}

func (r *Relayer) logLimit(e conductor.LimitChanged) {
	if e.Limited {
		r.options.Recorder.Event("endpoint limited", "endpoint", string(e.Endpoint), "perSecond", e.PerSecond, "assumed", e.Assumed)
		return
	}
	r.options.Recorder.Event("endpoint limit lifted", "endpoint", string(e.Endpoint))
}

func (r *Relayer) logDeclining(e conductor.DecliningChanged) {
	if e.Declining {
		r.options.Recorder.Event("service declines calls", "service", string(e.Service), "ratio", e.Ratio)
		return
	}
	r.options.Recorder.Event("service no longer declines calls", "service", string(e.Service))
}
