package encoder

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/configurer"
)

// checkRoundTrip draws values of a type, some with nil slices and pointers, and checks that encoding and decoding give
// back the same value.
func checkRoundTrip[T any](t *testing.T) {
	t.Helper()
	g := rapid.Make[T]()
	rapid.Check(t, func(t *rapid.T) {
		v := g.Draw(t, "value")
		b, err := Encode(v)
		assert.NilError(t, err)
		back, err := Decode(b)
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(any(v), back), "encoded %#v,\ndecoded %#v", v, back)
	})
}

func TestConfigurationRoundTrips(t *testing.T) {
	t.Run("publish", checkRoundTrip[configurer.PublishPreset])
	t.Run("switch", checkRoundTrip[configurer.SwitchPreset])
	t.Run("issue", checkRoundTrip[configurer.IssueKey])
	t.Run("withdraw", checkRoundTrip[configurer.WithdrawKey])
	t.Run("hint", checkRoundTrip[configurer.Hint])
	t.Run("request", checkRoundTrip[configurer.TailRequest])
	t.Run("tail", checkRoundTrip[configurer.Tail])
}
