// All refusals have the same form, so that a caller's program can decide on a retry from two fields: notRun is true when
// a retry cannot run the request twice, retryAfterMs is how long to wait before the retry.
//
// Example: {"type":"urn:jackdawtide:refusal:shed","title":"Shed under overload","status":503,"reason":"shed",
// "notRun":true,"requestId":"…","retryAfterMs":800}

package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

const (
	problemType    = "application/problem+json"
	typePrefix     = "urn:jackdawtide:refusal:"
	replayedHeader = "Idempotent-Replayed"
)

type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	Reason       string `json:"reason"`
	NotRun       bool   `json:"notRun"`
	RequestID    string `json:"requestId"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	DecidedBy    string `json:"decidedBy,omitempty"`
	Version      int64  `json:"version,omitempty"`
}

var titles = map[reducer.Reason]string{
	reducer.UnknownKey:      "Key unknown or withdrawn",
	reducer.UnknownToken:    "Call token unknown or ended",
	reducer.UnknownService:  "No such service",
	reducer.NoPreset:        "No preset is in force yet",
	reducer.BadRequest:      "Request cannot be read",
	reducer.BodyTooLarge:    "Request body too large",
	reducer.RateExceeded:    "Team is over its rate",
	reducer.RateUnavailable: "Team's rate could not be asked for in time",
	reducer.Shed:            "Shed under overload",
	reducer.NoBackend:       "No backend server",
	reducer.Unreachable:     "Backend server cannot be reached",
	reducer.DeadlinePassed:  "Deadline passed",
	reducer.LostAnswer:      "Answer lost",
	reducer.OutcomeUnknown:  "Outcome of the first request unknown",
	reducer.InProgress:      "First request still under way",
	reducer.IDMismatch:      "Idempotency id used for another request",
	reducer.IDExpired:       "Idempotency id too old",
	reducer.IDFromFuture:    "Idempotency id from the future",
	reducer.OwnerUnknown:    "Owner of the idempotency id cannot be reached",
	reducer.TooManyInFlight: "Too many calls under way",
	reducer.TooDeep:         "Call chain too deep",
	reducer.Cancelled:       "Call cancelled",
}

func writeRefusal(w http.ResponseWriter, request identifier.Request, r reducer.Refusal) {
	status := r.Reason.Status()
	h := w.Header()
	h.Set("Content-Type", problemType)
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(r.RetryAfter), 10))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	// Encode fails only if the caller has disconnected, so its error is ignored.
	_ = json.NewEncoder(w).Encode(problem{
		Type:         typePrefix + string(r.Reason),
		Title:        titles[r.Reason],
		Status:       status,
		Detail:       r.Detail,
		Reason:       string(r.Reason),
		NotRun:       r.NotRun,
		RequestID:    string(request),
		RetryAfterMs: int64(r.RetryAfter),
		DecidedBy:    string(r.DecidedBy),
		Version:      int64(r.Version),
	})
}

func wholeSeconds(d clock.Duration) int64 {
	return int64((d + clock.Second - 1) / clock.Second)
}

func writeOutcome(w http.ResponseWriter, request identifier.Request, o reducer.RecordedOutcome) {
	if !o.Kept {
		writeRefusal(w, request, reducer.Refusal{
			Reason: reducer.OutcomeUnknown,
			Detail: "the first request ran and was answered; its answer was too large to keep",
		})
		return
	}
	h := w.Header()
	for _, f := range o.Header {
		h.Add(f.Name, f.Value)
	}
	h.Set(replayedHeader, "true")
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}
