package exchanger

// Every node sends reports twice a second and gets back those of many others, so fields are encoded with integer keys in
// place of names to keep messages small.
//
// Example: EncodeQuestion(Question{Report: Report{Member: m, Excess: 0.4}}) gives a CBOR map with a nested map.

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

type wireMember struct {
	Node            string `cbor:"1,keyasint"`
	DeliveryAddress string `cbor:"2,keyasint"`
	PeerAddress     string `cbor:"3,keyasint"`
	Domain          string `cbor:"4,keyasint"`
	Service         string `cbor:"5,keyasint"`
	Endpoint        string `cbor:"6,keyasint,omitempty"`
	Slots           int    `cbor:"7,keyasint,omitempty"`
	State           uint8  `cbor:"8,keyasint,omitempty"`
	ColdLeft        int64  `cbor:"9,keyasint,omitempty"`
	Incarnation     int64  `cbor:"10,keyasint"`
	Sequence        int64  `cbor:"11,keyasint"`
	Started         int64  `cbor:"12,keyasint,omitempty"`
	Left            bool   `cbor:"13,keyasint,omitempty"`
	Stopping        bool   `cbor:"14,keyasint,omitempty"`
}

type wireReport struct {
	Member *wireMember        `cbor:"1,keyasint,omitempty"`
	Age    int64              `cbor:"2,keyasint,omitempty"`
	Number int64              `cbor:"3,keyasint"`
	Demand map[string]float32 `cbor:"4,keyasint,omitempty"`
	Excess float32            `cbor:"5,keyasint,omitempty"`
	Calls  wireCalls          `cbor:"6,keyasint,omitempty"`
	Nested int64              `cbor:"7,keyasint,omitempty"`
	Load   float32            `cbor:"8,keyasint,omitempty"`
	// Node replaces Member when the receiver already has the member's record.
	Node string `cbor:"9,keyasint,omitempty"`
	Root int64  `cbor:"10,keyasint,omitempty"`
	Cold int64  `cbor:"11,keyasint,omitempty"`
	// Limit is the state of the endpoint's rate limit, RateLimit the limit.
	Limit     uint8   `cbor:"12,keyasint,omitempty"`
	RateLimit float64 `cbor:"13,keyasint,omitempty"`
	// Arrivals holds rates by route and class.
	Arrivals map[string]map[uint8]float32 `cbor:"14,keyasint,omitempty"`
	Offered  float32                      `cbor:"15,keyasint,omitempty"`
	Declined float32                      `cbor:"16,keyasint,omitempty"`
	Capacity float32                      `cbor:"17,keyasint,omitempty"`
	// TeamArrivals holds rates by team and route.
	TeamArrivals map[string]map[string]float32 `cbor:"18,keyasint,omitempty"`
	Queue        float32                       `cbor:"19,keyasint,omitempty"`
}

// wireCalls holds the number of calls by the run's route and the call's route.
type wireCalls map[string]map[string]float32

type wireQuestion struct {
	Report    wireReport   `cbor:"1,keyasint"`
	Table     uint64       `cbor:"2,keyasint,omitempty"`
	Change    uint64       `cbor:"3,keyasint,omitempty"`
	Forwarded []wireReport `cbor:"4,keyasint,omitempty"`
}

type wireAnswer struct {
	Table   uint64       `cbor:"1,keyasint"`
	Change  uint64       `cbor:"2,keyasint"`
	Reports []wireReport `cbor:"3,keyasint"`
}

// EncodeMember encodes a member's record.
func EncodeMember(m Member) ([]byte, error) {
	return cbor.Marshal(memberToWire(m))
}

// DecodeMember decodes a member's record.
func DecodeMember(data []byte) (Member, error) {
	var w wireMember
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Member{}, fmt.Errorf("decode member: %w", err)
	}
	return memberFromWire(w)
}

// EncodeQuestion encodes a question.
func EncodeQuestion(q Question) ([]byte, error) {
	w := wireQuestion{Report: reportToWire(q.Report), Table: q.Since.Table, Change: q.Since.Change}
	for _, r := range q.Forwarded {
		w.Forwarded = append(w.Forwarded, reportToWire(r))
	}
	return cbor.Marshal(w)
}

// DecodeQuestion decodes a question; its reports must hold full member records. Invalid ones among the forwarded reports are left
// out.
func DecodeQuestion(data []byte) (Question, error) {
	var w wireQuestion
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Question{}, fmt.Errorf("decode question: %w", err)
	}
	q := Question{Since: Cursor{Table: w.Table, Change: w.Change}}
	var err error
	if q.Report, err = fullReportFromWire(w.Report); err != nil {
		return Question{}, err
	}
	for _, wire := range w.Forwarded {
		r, err := fullReportFromWire(wire)
		if err != nil {
			q.Refused = append(q.Refused, err)
			continue
		}
		q.Forwarded = append(q.Forwarded, r)
	}
	return q, nil
}

// fullReportFromWire decodes a report that must hold the member's record.
func fullReportFromWire(w wireReport) (Report, error) {
	r, err := reportFromWire(w)
	if err == nil && r.Compact {
		err = fmt.Errorf("decode question of %q: the member is missing", r.Member.Node)
	}
	return r, err
}

// EncodeAnswer encodes an answer.
func EncodeAnswer(a Answer) ([]byte, error) {
	w := wireAnswer{Table: a.Cursor.Table, Change: a.Cursor.Change, Reports: make([]wireReport, 0, len(a.Reports))}
	for _, r := range a.Reports {
		w.Reports = append(w.Reports, reportToWire(r))
	}
	return cbor.Marshal(w)
}

// DecodeAnswer decodes an answer. Invalid reports are left out: one record that another version of the node that answers has
// taken over would otherwise cut this node off from all reports.
func DecodeAnswer(data []byte) (Answer, error) {
	var w wireAnswer
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Answer{}, fmt.Errorf("decode answer: %w", err)
	}
	a := Answer{Cursor: Cursor{Table: w.Table, Change: w.Change}, Reports: make([]Report, 0, len(w.Reports))}
	for _, wire := range w.Reports {
		r, err := reportFromWire(wire)
		if err != nil {
			a.Refused = append(a.Refused, err)
			continue
		}
		a.Reports = append(a.Reports, r)
	}
	return a, nil
}

func reportToWire(r Report) wireReport {
	w := wireReport{
		Age:    int64(r.Age),
		Number: r.Number,
		Demand: toFloats(r.Demand),
		Excess: float32(r.Excess),
		Calls:  toCalls(r.Calls),
		Nested: int64(r.NestedTime),
		Root:   int64(r.RootTime),
		Cold:   int64(r.ColdLeft),
		Load:   float32(r.Load),

		Limit:     uint8(r.Limit),
		RateLimit: r.RateLimit,

		Arrivals: toArrivals(r.Arrivals),
		Offered:  float32(r.Offered),
		Declined: float32(r.Declined),
		Capacity: float32(r.Capacity),

		TeamArrivals: toTeamArrivals(r.TeamArrivals),
		Queue:        float32(r.Queue),
	}
	if r.Compact {
		w.Node = string(r.Member.Node)
		return w
	}
	m := memberToWire(r.Member)
	w.Member = &m
	return w
}

func reportFromWire(w wireReport) (Report, error) {
	r := Report{
		Compact: w.Member == nil,
		Age:     clock.Duration(max(0, w.Age)),
		Number:  w.Number,
		Demand:  fromFloats[identifier.Team](w.Demand),
		Calls:   fromCalls(w.Calls),

		NestedTime: clock.Duration(max(0, w.Nested)),
		RootTime:   clock.Duration(max(0, w.Root)),
		ColdLeft:   clock.Duration(max(0, w.Cold)),
	}
	if w.Limit <= uint8(Limited) && w.RateLimit >= 0 {
		r.Limit, r.RateLimit = LimitState(w.Limit), w.RateLimit
	}
	if err := w.readRates(&r); err != nil {
		return Report{}, err
	}
	if !r.Compact {
		var err error
		r.Member, err = memberFromWire(*w.Member)
		return r, err
	}
	if w.Node == "" {
		return Report{}, fmt.Errorf("decode report %d: it names no node", w.Number)
	}
	r.Member.Node = identifier.Node(w.Node)
	return r, nil
}

func memberToWire(m Member) wireMember {
	return wireMember{
		Node:            string(m.Node),
		DeliveryAddress: m.DeliveryAddress,
		PeerAddress:     m.PeerAddress,
		Domain:          string(m.Domain),
		Service:         string(m.Service),
		Endpoint:        string(m.Endpoint),
		Slots:           m.Slots,
		State:           uint8(m.State),
		ColdLeft:        int64(m.ColdLeft),
		Incarnation:     m.Incarnation,
		Sequence:        m.Sequence,
		Started:         m.Started,
		Left:            m.Left,
		Stopping:        m.Stopping,
	}
}

func memberFromWire(w wireMember) (Member, error) {
	if err := w.check(); err != nil {
		return Member{}, err
	}
	return Member{
		Node:            identifier.Node(w.Node),
		DeliveryAddress: w.DeliveryAddress,
		PeerAddress:     w.PeerAddress,
		Domain:          identifier.FailureDomain(w.Domain),
		Service:         identifier.Service(w.Service),
		Endpoint:        identifier.Endpoint(w.Endpoint),
		Slots:           w.Slots,
		State:           State(w.State),
		ColdLeft:        clock.Duration(w.ColdLeft),
		Incarnation:     w.Incarnation,
		Sequence:        w.Sequence,
		Started:         w.Started,
		Left:            w.Left,
		Stopping:        w.Stopping,
	}, nil
}

func toFloats[K ~string](from map[K]float64) map[string]float32 {
	to := make(map[string]float32, len(from))
	for key, value := range from {
		to[string(key)] = float32(value)
	}
	return to
}

func fromFloats[K ~string](from map[string]float32) map[K]float64 {
	to := make(map[K]float64, len(from))
	for key, value := range from {
		// The comparison drops NaN too, which would otherwise turn every sum that includes it into NaN.
		if value >= 0 {
			to[K(key)] = float64(value)
		}
	}
	return to
}

func toCalls(from map[identifier.Route]map[identifier.Route]float64) wireCalls {
	to := make(wireCalls, len(from))
	for route, calls := range from {
		to[string(route)] = toFloats(calls)
	}
	return to
}

func fromCalls(from wireCalls) map[identifier.Route]map[identifier.Route]float64 {
	to := make(map[identifier.Route]map[identifier.Route]float64, len(from))
	for route, calls := range from {
		to[identifier.Route(route)] = fromFloats[identifier.Route](calls)
	}
	return to
}
