// Each message and record must be the same after encoding and decoding, so every field is drawn, with unusual values
// too.

package encoder

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/granter"
)

// Guards against a field that the codec omits and that is therefore zero after decoding: a promise would not count, or a
// loan would be lost, and claims would have no holder.
func TestClaimsAndGrantsRoundTrip(t *testing.T) {
	generators := map[string]*rapid.Generator[any]{
		"claim":          rapid.Make[claimer.Claim]().AsAny(),
		"promiseRequest": rapid.Make[claimer.PromiseRequest]().AsAny(),
		"promise":        rapid.Make[claimer.Promise]().AsAny(),
		"ask":            rapid.Make[granter.Ask]().AsAny(),
		"grant":          rapid.Make[granter.Grant]().AsAny(),
		"loanRequest":    rapid.Make[granter.LoanRequest]().AsAny(),
		"loan":           rapid.Make[granter.Loan]().AsAny(),
		"recall":         rapid.Make[granter.Recall]().AsAny(),
		"sharesQuery":    rapid.Make[granter.SharesQuery]().AsAny(),
		"sharesConfirm":  rapid.Make[granter.SharesConfirm]().AsAny(),
	}
	for name, g := range generators {
		t.Run(name, func(t *testing.T) {
			nonZero := map[int]bool{}
			for seed := range 50 {
				v := g.Example(seed)
				b, err := Encode(v)
				assert.NilError(t, err)
				w, err := Decode(b)
				assert.NilError(t, err)
				if !reflect.DeepEqual(emptyToNil(v), emptyToNil(w)) {
					t.Fatalf("encoded %+v, decoded %+v", v, w)
				}
				for i := range reflect.TypeOf(v).NumField() {
					nonZero[i] = nonZero[i] || !reflect.ValueOf(v).Field(i).IsZero()
				}
			}
			assert.Equal(t, len(nonZero), reflect.TypeOf(g.Example(0)).NumField())
			for i, f := range nonZero {
				assert.Check(t, f, "field %d was zero in all values drawn", i)
			}
		})
	}
}

// emptyToNil replaces empty slices by nil, since the wire form doesn't distinguish the two.
func emptyToNil(v any) any {
	p := reflect.New(reflect.TypeOf(v)).Elem()
	p.Set(reflect.ValueOf(v))
	for i := range p.NumField() {
		if f := p.Field(i); f.Kind() == reflect.Slice && f.Len() == 0 {
			f.SetZero()
		}
	}
	return p.Interface()
}
