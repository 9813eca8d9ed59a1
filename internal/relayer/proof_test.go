package relayer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseProof(t *testing.T) {
	tests := map[string]struct {
		text string
		want Proof
		ok   bool
	}{
		"with orders":     {"12,800,57", Proof{Version: 12, AsOf: 9200, Next: 57}, true},
		"without":         {"12,800", Proof{Version: 12, AsOf: 9200}, true},
		"no age":          {"12", Proof{}, false},
		"negative age":    {"12,-1,3", Proof{}, false},
		"negative orders": {"12,1,-3", Proof{}, false},
		"too much":        {"12,1,3,4", Proof{}, false},
		"no number":       {"12,soon", Proof{}, false},
		"nothing":         {"", Proof{}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := proofAt(test.text, 10_000)
			assert.Equal(t, ok, test.ok)
			if ok {
				assert.DeepEqual(t, got, test.want)
			}
		})
	}
	assert.Equal(t, formatProof(12, 800, 57), "12,800,57")
	assert.Equal(t, formatProof(12, 800, 0), "12,800")
}
