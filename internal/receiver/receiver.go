// Callers and backend servers send HTTP requests whose path starts with the name of a service. They differ only in how
// they authenticate: by a team's key at the callers' listener, by the token of the parent call at the local listener.
//
// Example: GET /ice/bulletins?port=aniva with "Authorization: Bearer jt_…" is a call of service "ice" with
// path "/bulletins"; the key is hashed here, and only its hash is passed on.

package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/forwarder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/performer"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/reserver"
)

// IdempotencyHeader is the header field with the idempotency id of a request that must run at most once.
const IdempotencyHeader = "Idempotency-Key"

const (
	bearerPrefix         = "bearer "
	maxIdempotencyLength = 255
	maxDeadlineMs        = 24 * int64(clock.Hour)
	authorizationHeader  = "Authorization"
	defaultInFlight      = 4096
)

// Receiver serves the calls of callers and of this VM's backend servers.
type Receiver struct {
	self      identifier.Node
	clock     *clock.Clock
	performer *performer.Performer
	forwarder *forwarder.Forwarder
	memory    *reserver.Pool
	inFlight  chan struct{}
}

// New returns a receiver; memory is the pool from which room for bodies that may be sent again is taken, inFlight bounds the
// concurrent calls, zero means defaultInFlight.
func New(self identifier.Node, c *clock.Clock, p *performer.Performer, f *forwarder.Forwarder, memory *reserver.Pool, inFlight int) *Receiver {
	if inFlight == 0 {
		inFlight = defaultInFlight
	}
	return &Receiver{self: self, clock: c, performer: p, forwarder: f, memory: memory, inFlight: make(chan struct{}, inFlight)}
}

// FieldError reports a header field of a request that cannot be parsed.
type FieldError struct {
	Field string
	Value string
	Want  string
}

// Error names the field, its value and the expected form.
func (e FieldError) Error() string {
	return e.Field + ": " + strconv.Quote(e.Value) + ": want " + e.Want
}

// Callers returns the handler for the callers' listener.
func (r *Receiver) Callers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.serve(w, q, func(x *exchange, p parts) reducer.Event {
			return &reducer.CallArrived{
				Call:          x.id,
				Request:       x.request,
				KeyHash:       hashKey(q.Header.Get(authorizationHeader)),
				Service:       p.service,
				Method:        q.Method,
				Path:          p.path,
				Idempotency:   p.idempotency,
				Deadline:      p.deadline,
				ContentLength: q.ContentLength,
				Wall:          r.clock.Wall(),
			}
		})
	})
}

// Nested returns the handler for nested calls, which backend servers of this VM make.
func (r *Receiver) Nested() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.serve(w, q, func(x *exchange, p parts) reducer.Event {
			return &reducer.NestedArrived{
				Call:          x.id,
				Request:       x.request,
				Token:         reducer.Token(q.Header.Get(deliverer.TokenHeader)),
				Service:       p.service,
				Method:        q.Method,
				Path:          p.path,
				Idempotency:   p.idempotency,
				Deadline:      p.deadline,
				ContentLength: q.ContentLength,
				Wall:          r.clock.Wall(),
			}
		})
	})
}

func (r *Receiver) serve(w http.ResponseWriter, q *http.Request, arrived func(*exchange, parts) reducer.Event) {
	request := identifier.Request(uuid.Must(uuid.NewV7()).String())
	w.Header().Set(deliverer.RequestIDHeader, string(request))
	p, err := parse(q)
	if err != nil {
		r.refuse(w, request, reducer.BadRequest, err.Error())
		return
	}
	select {
	case r.inFlight <- struct{}{}:
		defer func() { <-r.inFlight }()
	default:
		r.refuse(w, request, reducer.TooManyInFlight, "this node has too many calls under way")
		return
	}
	id, mailbox := r.performer.Open()
	defer r.performer.Close(id)
	x := &exchange{receiver: r, id: id, mailbox: mailbox, request: request, writer: w, incoming: q, body: newReplayBody(q.Body, r.memory), parts: p}
	defer x.body.release()
	r.performer.Apply(arrived(x, p))
	x.run()
}

func (r *Receiver) refuse(w http.ResponseWriter, request identifier.Request, reason reducer.Reason, detail string) {
	writeRefusal(w, request, reducer.Refusal{
		Reason:     reason,
		NotRun:     true,
		Detail:     detail,
		DecidedBy:  r.self,
		RetryAfter: retryAfterBusy(reason),
	})
}

func retryAfterBusy(reason reducer.Reason) clock.Duration {
	if reason == reducer.TooManyInFlight {
		return clock.Second
	}
	return 0
}

// parts holds what is parsed from the request line and the header.
type parts struct {
	service     identifier.Service
	path        string
	idempotency identifier.Idempotency
	deadline    clock.Duration
}

func parse(q *http.Request) (parts, error) {
	service, rest := splitPath(q.URL.EscapedPath())
	p := parts{service: identifier.Service(service), path: rest}
	var err error
	if p.deadline, err = parseDeadline(q.Header.Get(deliverer.DeadlineHeader)); err != nil {
		return parts{}, err
	}
	if p.idempotency, err = parseIdempotency(q.Header.Values(IdempotencyHeader)); err != nil {
		return parts{}, err
	}
	return p, nil
}

func splitPath(path string) (service, rest string) {
	path = strings.TrimPrefix(path, "/")
	i := strings.IndexByte(path, '/')
	if i < 0 {
		return path, "/"
	}
	return path[:i], path[i:]
}

func parseDeadline(value string) (clock.Duration, error) {
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadlineMs {
		return 0, FieldError{Field: deliverer.DeadlineHeader, Value: value, Want: "milliseconds from 1 to a day"}
	}
	return clock.Duration(ms), nil
}

func parseIdempotency(values []string) (identifier.Idempotency, error) {
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", FieldError{Field: IdempotencyHeader, Value: strings.Join(values, ", "), Want: "one value"}
	}
	v := values[0]
	if v == "" || len(v) > maxIdempotencyLength || strings.ContainsFunc(v, notPrintable) {
		return "", FieldError{Field: IdempotencyHeader, Value: v, Want: "1 to 255 printable ASCII characters"}
	}
	return identifier.Idempotency(v), nil
}

func notPrintable(c rune) bool { return c < 0x20 || c > 0x7e }

// The reducer gets only the hash of the key, because its state appears in dumps and logs.
func hashKey(header string) identifier.KeyHash {
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	sum := sha256.Sum256([]byte(header[len(bearerPrefix):]))
	return identifier.KeyHash(hex.EncodeToString(sum[:]))
}
