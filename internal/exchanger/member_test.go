package exchanger

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// oddRecords are records in the members' topic that no node writes.
func oddRecords(t testing.TB) map[string][]byte {
	t.Helper()
	valid := wireMember{
		Node: "a", DeliveryAddress: "10.0.0.1:7400", PeerAddress: "10.0.0.1:7401", Domain: "west", Service: "portal", Endpoint: "i-1",
		Slots: 40, State: uint8(Ready), Incarnation: 7, Sequence: 9,
	}
	records := map[string][]byte{
		"no bytes that can be read": {0xff, 0xff},
		"empty map":                 {0xa0},
		"another type":              {0x18, 0x2a},
		"nested deeply":             append(bytes.Repeat([]byte{0x81}, 100_000), 0x00),
		"nested deeply in a field":  append(append([]byte{0xa1, 0x01}, bytes.Repeat([]byte{0x81}, 100_000)...), 0x00),
		"nested in an unknown one":  append(append([]byte{0xa1, 0x18, 0x63}, bytes.Repeat([]byte{0x81}, 100_000)...), 0x00),
		"length near 2^63":          {0xa1, 0x01, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	}
	for name, change := range map[string]func(m *wireMember){
		"no name":                   func(m *wireMember) { m.Node = "" },
		"name of 60 kB":             func(m *wireMember) { m.Node = strings.Repeat("a", 60_000) },
		"domain of 60 kB":           func(m *wireMember) { m.Domain = strings.Repeat("a", 60_000) },
		"service of 60 kB":          func(m *wireMember) { m.Service = strings.Repeat("a", 60_000) },
		"endpoint of 60 kB":         func(m *wireMember) { m.Endpoint = strings.Repeat("a", 60_000) },
		"no delivery address":       func(m *wireMember) { m.DeliveryAddress = "" },
		"no port":                   func(m *wireMember) { m.DeliveryAddress = "10.0.0.1" },
		"port 0":                    func(m *wireMember) { m.PeerAddress = "10.0.0.1:0" },
		"port 70000":                func(m *wireMember) { m.PeerAddress = "10.0.0.1:70000" },
		"port 99999":                func(m *wireMember) { m.DeliveryAddress = "10.0.0.1:99999" },
		"negative port":             func(m *wireMember) { m.DeliveryAddress = "10.0.0.1:-1" },
		"named port":                func(m *wireMember) { m.DeliveryAddress = "10.0.0.1:http" },
		"slots near 2^63":           func(m *wireMember) { m.Slots = math.MaxInt64 },
		"negative slots":            func(m *wireMember) { m.Slots = -1 },
		"unknown state":             func(m *wireMember) { m.State = 9 },
		"negative time":             func(m *wireMember) { m.ColdLeft = -1 },
		"time near 2^63":            func(m *wireMember) { m.ColdLeft = math.MaxInt64 },
		"greatest incarnation":      func(m *wireMember) { m.Incarnation = math.MaxInt64 },
		"negative incarnation":      func(m *wireMember) { m.Incarnation = -1 },
		"greatest sequence number":  func(m *wireMember) { m.Sequence = math.MaxInt64 },
		"start near 2^63":           func(m *wireMember) { m.Started = math.MaxInt64 },
		"start before the first":    func(m *wireMember) { m.Started = -1 },
		"greatest sequence, no end": func(m *wireMember) { m.Sequence = maxCount + 1 },
	} {
		m := valid
		change(&m)
		data, err := cbor.Marshal(m)
		assert.NilError(t, err)
		records[name] = data
	}
	for key, value := range map[int]any{
		1: 7, 2: []int{1}, 3: map[string]int{"a": 1}, 4: true, 5: nil, 6: 1.5, 7: "many", 8: -1, 9: "soon", 10: uint64(math.MaxUint64), 11: "x",
		12: []byte("x"), 13: 3, 14: "yes",
	} {
		fields := map[int]any{1: "a", 2: "10.0.0.1:7400", 3: "10.0.0.1:7401", 4: "west", 5: "portal", 10: 7, 11: 9}
		fields[key] = value
		data, err := cbor.Marshal(fields)
		assert.NilError(t, err)
		if value != nil {
			records["wrong type of field "+string(rune('a'+key))] = data
		}
	}
	return records
}

// Guards against entries of other writers among those of the nodes, which would use up memory, be called in vain, or shadow a node.
func TestOddRecordsAreRefused(t *testing.T) {
	for name, data := range oddRecords(t) {
		t.Run(name, func(t *testing.T) {
			m, err := DecodeMember(data)
			assert.Assert(t, err != nil, "%+v", m)
			assert.Assert(t, len(err.Error()) < 400, "%d bytes", len(err.Error()))
		})
	}
	_, err := DecodeMember(oddRecords(t)["slots near 2^63"])
	var member MemberError
	assert.Assert(t, errors.As(err, &member), "%v", err)
	assert.Equal(t, member.Field, "slots")
}

// Guards against a node that follows nothing any more because one record that another node relays can't be decoded.
func TestOddRecordsLeaveOtherReports(t *testing.T) {
	good := memberToWire(Member{Node: "b", DeliveryAddress: "10.0.0.2:1", PeerAddress: "10.0.0.2:2", Incarnation: 1, Sequence: 1})
	bad := good
	bad.Node, bad.DeliveryAddress = "odd", "10.0.0.2:99999"
	reports := []wireReport{{Member: &bad, Number: 1}, {Member: &good, Number: 2}}
	data, err := cbor.Marshal(wireAnswer{Reports: reports})
	assert.NilError(t, err)
	answer, err := DecodeAnswer(data)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Refused), 1)
	assert.Equal(t, len(answer.Reports), 1)
	assert.Equal(t, answer.Reports[0].Member.Node, identifier.Node("b"))
	data, err = cbor.Marshal(wireQuestion{Report: reports[1], Forwarded: reports})
	assert.NilError(t, err)
	question, err := DecodeQuestion(data)
	assert.NilError(t, err)
	assert.Equal(t, len(question.Refused), 1)
	assert.Equal(t, len(question.Forwarded), 1)
	_, err = DecodeQuestion([]byte{0xa1, 0x01, 0xa0})
	assert.Assert(t, err != nil)
}
