package relayer

// The data that a node sends to another with a request, and gets back with the answer, is packed into one header field
// each: otherwise most bytes of a small nested call between failure domains would be field names.
//
// Example: Jackdaw-Call: 695 231 300 39 n i-676cc4d8c6 is a nested call of rank 39 for endpoint i-676cc4d8c6 with 695 ms
// left, which may be queued for 231 ms and is due in 300; Jackdaw-State: 245 12 7,800 is an endpoint with a headroom of
// 245 of 255 and a queue delay of 12 ms, at a node where version 7 was the newest 800 ms ago.

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// handover is the data that accompanies a request to another node.
type handover struct {
	left, queueTimeout, due clock.Duration
	rank                    identifier.Rank
	nested, arrivalCounted  bool
	// once is set if the request may run once only, offeredBefore if it was offered to an endpoint before.
	once, offeredBefore bool
	endpoint            identifier.Endpoint
	// rateUnchecked is the team whose rate limit has not been checked for this request yet, empty for none.
	rateUnchecked identifier.Team
}

const (
	nestedFlag         = "n"
	arrivalCountedFlag = "a"
	onceFlag           = "o"
	offeredBeforeFlag  = "b"
	noFlag             = "-"
)

func (o handover) String() string {
	flags := ""
	if o.nested {
		flags += nestedFlag
	}
	if o.arrivalCounted {
		flags += arrivalCountedFlag
	}
	if o.once {
		flags += onceFlag
	}
	if o.offeredBefore {
		flags += offeredBeforeFlag
	}
	if flags == "" {
		flags = noFlag
	}
	text := fmt.Sprintf("%d %d %d %d %s %s", max(0, o.left), max(0, o.queueTimeout), max(0, o.due), o.rank, flags,
		url.QueryEscape(string(o.endpoint)))
	if o.rateUnchecked != "" {
		text += " " + url.QueryEscape(string(o.rateUnchecked))
	}
	return text
}

// HandoverError reports the part of a handover that can't be parsed.
type HandoverError struct {
	Text string
	Part string
}

// Error returns the text of the handover and the invalid part.
func (e HandoverError) Error() string {
	return fmt.Sprintf("handover %q: %s can't be read", e.Text, e.Part)
}

// handoverParts are the names of the parts of a handover in their order; the team may be missing.
var handoverParts = []string{"time left", "patience", "due", "rank", "flags", "endpoint", "team"}

func parseHandover(text string) (handover, error) {
	parts := strings.Fields(text)
	if len(parts) < len(handoverParts)-1 || len(parts) > len(handoverParts) {
		return handover{}, HandoverError{Text: text, Part: "number of parts"}
	}
	var numbers [4]uint64
	for i := range numbers {
		bits := 63
		if handoverParts[i] == "rank" {
			bits = 16
		}
		n, err := strconv.ParseUint(parts[i], 10, bits)
		if err != nil {
			return handover{}, HandoverError{Text: text, Part: handoverParts[i]}
		}
		numbers[i] = n
	}
	names := []string{""}
	for i, part := range parts[5:] {
		name, err := url.QueryUnescape(part)
		if err != nil {
			return handover{}, HandoverError{Text: text, Part: handoverParts[5+i]}
		}
		names = append(names, name)
	}
	o := handover{
		left:           clock.Duration(numbers[0]),
		queueTimeout:   clock.Duration(numbers[1]),
		due:            clock.Duration(numbers[2]),
		rank:           identifier.Rank(numbers[3]),
		nested:         strings.Contains(parts[4], nestedFlag),
		arrivalCounted: strings.Contains(parts[4], arrivalCountedFlag),
		once:           strings.Contains(parts[4], onceFlag),
		offeredBefore:  strings.Contains(parts[4], offeredBeforeFlag),
		endpoint:       identifier.Endpoint(names[1]),
	}
	if len(names) > 2 {
		o.rateUnchecked = identifier.Team(names[2])
	}
	return o, nil
}

// peerState is the data that accompanies an answer: the headroom and queue delay of the endpoint beside the answering
// node, and the freshness of that node's configuration.
type peerState struct {
	headroom   uint8
	queueDelay clock.Duration
	// proof is in the format of formatProof, empty for none.
	proof string
}

func (s peerState) String() string {
	return strings.TrimSpace(fmt.Sprintf("%d %d %s", s.headroom, s.queueDelay, s.proof))
}

// NotFromNodeError reports an answer without the field that each answer between nodes has.
type NotFromNodeError struct {
	Address string
	Status  int
	Field   string
}

// Error names the address, the status and the field.
func (e NotFromNodeError) Error() string {
	return fmt.Sprintf("answer %d from %s has no readable field %s, so it is not from a node", e.Status, e.Address, e.Field)
}

// readPeerState reports whether the state can be parsed.
func readPeerState(h http.Header) (s peerState, ok bool) {
	parts := strings.Fields(h.Get(stateField))
	if len(parts) < 2 {
		return peerState{}, false
	}
	headroom, err := strconv.ParseUint(parts[0], 10, 8)
	if err != nil {
		return peerState{}, false
	}
	queueDelay, err := strconv.ParseUint(parts[1], 10, 63)
	if err != nil {
		return peerState{}, false
	}
	s = peerState{headroom: uint8(headroom), queueDelay: clock.Duration(queueDelay)}
	if len(parts) > 2 {
		s.proof = parts[2]
	}
	return s, true
}
