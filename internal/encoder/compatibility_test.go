package encoder

import (
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const messagesFile = "testdata/messages.txt"

// Guards against a field or kind whose encoding changes: records and messages of nodes that run another version would be
// misread. The file holds one value of each kind as the first version with this test encoded it.
func TestEncodedMessagesStayTheSame(t *testing.T) {
	lines := make([]string, 0, len(codecsByKind))
	for _, kind := range slices.Sorted(maps.Keys(codecsByKind)) {
		for domainType, c := range codecsByType {
			if c.kind != kind {
				continue
			}
			v := reflect.New(domainType).Elem()
			next := 0
			fill(v, &next)
			encoded, err := Encode(v.Interface())
			assert.NilError(t, err)
			lines = append(lines, fmt.Sprintf("%d %s", kind, hex.EncodeToString(encoded)))
		}
	}
	stored, err := os.ReadFile(messagesFile)
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(lines, "\n")+"\n", string(stored))
}

// Guards against a version that no longer reads what an earlier one wrote: each stored message decodes, and encodes to the
// same bytes again.
func TestStoredMessagesAreRead(t *testing.T) {
	stored, err := os.ReadFile(messagesFile)
	assert.NilError(t, err)
	for line := range strings.Lines(string(stored)) {
		kind, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		t.Run(kind, func(t *testing.T) {
			encoded, err := hex.DecodeString(digits)
			assert.NilError(t, err)
			v, err := Decode(encoded)
			assert.NilError(t, err)
			again, err := Encode(v)
			assert.NilError(t, err)
			assert.Equal(t, hex.EncodeToString(again), digits)
		})
	}
}

// fill sets each exported field to a value of its own, counting up from next.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) / 4)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *next))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), next)
		fill(v.Index(1), next)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i), next)
			}
		}
	default:
		panic(fmt.Sprintf("cannot fill a %s", v.Type()))
	}
}
