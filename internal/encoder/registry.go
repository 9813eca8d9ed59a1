// Messages and records are encoded as CBOR: a kind number and a wire value made of arrays, so that field names take no
// bytes. The types of other packages have no CBOR tags; for each group of them a file of this package maps them by hand
// to wire types and registers the functions. The number of a kind that is no longer used is not given to another one,
// since records outlive the version that wrote them.
//
// Example: with register(kindPromise, promiseToWire, promiseFromWire) in claims.go, Decode returns the value of
// claimer.Promise from the bytes that Encode made of it.

package encoder

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the number of a type of message or record.
type Kind uint16

// UnknownTypeError reports a value for which no codec is registered.
type UnknownTypeError struct {
	Type string
}

// Error names the type.
func (e UnknownTypeError) Error() string {
	return fmt.Sprintf("no codec for messages of type %s", e.Type)
}

// UnknownKindError reports bytes of a kind that this version does not know.
type UnknownKindError struct {
	Kind Kind
}

// Error names the kind.
func (e UnknownKindError) Error() string {
	return fmt.Sprintf("no codec for messages of kind %d", e.Kind)
}

type codec struct {
	kind   Kind
	toWire func(any) any
	decode func([]byte) (any, error)
}

type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

var (
	codecsByType = map[reflect.Type]codec{}
	codecsByKind = map[Kind]codec{}
	decoderMode  = mustDecoderMode()
)

// The decoder limits lengths, since a length field in bytes from another node could otherwise make the process allocate
// gigabytes and run out of memory.
func mustDecoderMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// register adds the codec of type D, whose wire type is W.
func register[D, W any](kind Kind, toWire func(D) W, fromWire func(W) D) {
	t := reflect.TypeFor[D]()
	if _, taken := codecsByKind[kind]; taken {
		panic(fmt.Sprintf("kind %d is registered twice", kind))
	}
	c := codec{
		kind:   kind,
		toWire: func(v any) any { return toWire(v.(D)) },
		decode: func(b []byte) (any, error) {
			var w W
			if err := decoderMode.Unmarshal(b, &w); err != nil {
				return nil, fmt.Errorf("decode %s: %w", t, err)
			}
			return fromWire(w), nil
		},
	}
	codecsByType[t] = c
	codecsByKind[kind] = c
}

// Encode returns the bytes of a message or record.
func Encode(v any) ([]byte, error) {
	c, ok := codecsByType[reflect.TypeOf(v)]
	if !ok {
		return nil, UnknownTypeError{Type: fmt.Sprintf("%T", v)}
	}
	body, err := cbor.Marshal(c.toWire(v))
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return cbor.Marshal(frame{Kind: c.kind, Body: body})
}

// Decode returns the message or record in b, as a value of the type that was encoded.
func Decode(b []byte) (any, error) {
	var f frame
	if err := decoderMode.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	c, ok := codecsByKind[f.Kind]
	if !ok {
		return nil, UnknownKindError{Kind: f.Kind}
	}
	return c.decode(f.Body)
}
