package soaker

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Two nodes of a soak are given the same port: the one that is started later ends at once, and the soak blames the product.
func TestAddressesAreHandedOutOnce(t *testing.T) {
	given := map[string]bool{}
	for range 600 {
		address, err := freeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !given[address], address)
		given[address] = true
	}
}
