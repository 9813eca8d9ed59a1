package soaker

import (
	"testing"

	"gotest.tools/v3/assert"
)

// If two nodes of a soak got the same port, the one started later would exit at once, and the soak would report a fault
// of the program under test.
func TestFreeAddressNeverRepeats(t *testing.T) {
	allocated := map[string]bool{}
	for range 600 {
		address, err := freeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !allocated[address], address)
		allocated[address] = true
	}
}
