package soaker

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Two nodes of a soak are given the same port: the one that is started later ends at once, and the soak blames the product.
func TestFreeAddressNeverRepeats(t *testing.T) {
	allocated := map[string]bool{}
	for range 600 {
		address, err := freeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !allocated[address], address)
		allocated[address] = true
	}
}
