// Heads, tails and hellos are sent as CBOR arrays. The types of types.go have no CBOR tags; these wire types have
// them, and the pairs of functions below convert between the two.
//
// Example: an AnswerTail takes 6 to 11 bytes.

package transporter

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

type wireCall struct {
	_        struct{} `cbor:",toarray"`
	Request  string
	Root     string
	Team     string
	KeyHash  string
	Service  string
	Endpoint string
	Method   string
	Path     string
	RawQuery string
	// Header holds names and values alternately, which costs half as much work as an array of pairs.
	Header        []string
	ContentLength int64
	Rank          uint16
	Deadline      int64
	Allowance     uint8
	Idempotent    bool
	Depth         uint8
	Attempt       uint16
	Idempotency   string
}

type wireRefusal struct {
	_          struct{} `cbor:",toarray"`
	Reason     string
	NotRun     bool
	RetryAfter int64
	DecidedBy  string
}

type wireAnswer struct {
	_       struct{} `cbor:",toarray"`
	Status  int
	Header  []string
	Refusal *wireRefusal
}

type wireTail struct {
	_          struct{} `cbor:",toarray"`
	Allowance  uint8
	Threshold  uint16
	Headroom   uint8
	RetryRatio uint8
	Share      uint8
	// Reusable means that the complete request was read, so that the stream can carry another call.
	Reusable bool
}

type wireHello struct {
	_      struct{} `cbor:",toarray"`
	Node   string
	Domain string
	To     string
}

var (
	encoderMode = mustEncoderMode()
	decoderMode = mustDecoderMode()
)

func mustEncoderMode() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// A head has few fields, so low limits keep a forged length from costing memory. HTTP allows header values that are
// not UTF-8: if the decoder rejected them, such a call would fail at every node without a reason visible to its caller.
func mustDecoderMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1024,
		MaxMapPairs:      16,
		MaxNestedLevels:  8,
		UTF8:             cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func encodeTo(b *bytes.Buffer, wire any) error {
	return encoderMode.MarshalToBuffer(wire, b)
}

func fieldsToWire(fields []Field) []string {
	if len(fields) == 0 {
		return nil
	}
	out := make([]string, 0, 2*len(fields))
	for _, f := range fields {
		out = append(out, f.Name, f.Value)
	}
	return out
}

// fieldsFromWire drops a trailing name without a value, which no sender of this project writes.
func fieldsFromWire(pairs []string) []Field {
	if len(pairs) < 2 {
		return nil
	}
	out := make([]Field, len(pairs)/2)
	for i := range out {
		out[i] = Field{Name: pairs[2*i], Value: pairs[2*i+1]}
	}
	return out
}

func callToWire(h *CallHead) wireCall {
	return wireCall{
		Request: string(h.Request), Root: string(h.Root), Team: string(h.Team), KeyHash: string(h.KeyHash), Service: string(h.Service),
		Endpoint: string(h.Endpoint), Method: h.Method, Path: h.Path, RawQuery: h.RawQuery,
		Header: fieldsToWire(h.Header), ContentLength: h.ContentLength, Rank: uint16(h.Rank),
		Deadline: int64(h.Deadline), Allowance: h.Allowance, Idempotent: h.Idempotent, Depth: h.Depth,
		Attempt: h.Attempt, Idempotency: string(h.Idempotency),
	}
}

func decodeCall(b []byte) (CallHead, error) {
	var w wireCall
	if err := decoderMode.Unmarshal(b, &w); err != nil {
		return CallHead{}, malformed("call head", err)
	}
	return CallHead{
		Request: identifier.Request(w.Request), Root: identifier.Request(w.Root), Team: identifier.Team(w.Team),
		KeyHash: identifier.KeyHash(w.KeyHash),
		Service: identifier.Service(w.Service), Endpoint: identifier.Endpoint(w.Endpoint), Method: w.Method,
		Path: w.Path, RawQuery: w.RawQuery, Header: fieldsFromWire(w.Header), ContentLength: w.ContentLength,
		Rank: identifier.Rank(w.Rank), Deadline: clock.Duration(w.Deadline), Allowance: w.Allowance,
		Idempotent: w.Idempotent, Depth: w.Depth, Attempt: w.Attempt,
		Idempotency: identifier.Idempotency(w.Idempotency),
	}, nil
}

func answerToWire(h *AnswerHead) wireAnswer {
	w := wireAnswer{Status: h.Status, Header: fieldsToWire(h.Header)}
	if r := h.Refusal; r != nil {
		w.Refusal = &wireRefusal{
			Reason: r.Reason, NotRun: r.NotRun, RetryAfter: int64(r.RetryAfter), DecidedBy: string(r.DecidedBy),
		}
	}
	return w
}

func decodeAnswer(b []byte) (AnswerHead, error) {
	var w wireAnswer
	if err := decoderMode.Unmarshal(b, &w); err != nil {
		return AnswerHead{}, malformed("answer head", err)
	}
	h := AnswerHead{Status: w.Status, Header: fieldsFromWire(w.Header)}
	if r := w.Refusal; r != nil {
		h.Refusal = &Refusal{
			Reason: r.Reason, NotRun: r.NotRun, RetryAfter: clock.Duration(r.RetryAfter),
			DecidedBy: identifier.Node(r.DecidedBy),
		}
	}
	return h, nil
}

func tailToWire(t AnswerTail, reusable bool) wireTail {
	return wireTail{
		Allowance: t.Allowance, Threshold: uint16(t.Threshold), Headroom: t.Headroom, RetryRatio: t.RetryRatio,
		Share:    t.Share,
		Reusable: reusable,
	}
}

func decodeTail(b []byte) (_ AnswerTail, reusable bool, _ error) {
	var w wireTail
	if err := decoderMode.Unmarshal(b, &w); err != nil {
		return AnswerTail{}, false, malformed("answer tail", err)
	}
	return AnswerTail{
		Allowance: w.Allowance, Threshold: identifier.Threshold(w.Threshold), Headroom: w.Headroom,
		RetryRatio: w.RetryRatio, Share: w.Share,
	}, w.Reusable, nil
}

type hello struct {
	node   identifier.Node
	domain identifier.FailureDomain
	to     identifier.Node
}

func helloToWire(h hello) wireHello {
	return wireHello{Node: string(h.node), Domain: string(h.domain), To: string(h.to)}
}

func decodeHello(b []byte) (hello, error) {
	var w wireHello
	if err := decoderMode.Unmarshal(b, &w); err != nil {
		return hello{}, malformed("hello", err)
	}
	return hello{
		node: identifier.Node(w.Node), domain: identifier.FailureDomain(w.Domain), to: identifier.Node(w.To),
	}, nil
}

// The decoder reports an empty frame as io.EOF, which a reader would mistake for the end of a complete answer.
func malformed(what string, err error) MalformedError {
	return MalformedError{What: what, Err: asUnexpectedEOF(err)}
}
