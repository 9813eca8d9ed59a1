package clock

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A VM is suspended for three seconds, which the process's monotonic clock does not count. If the suspension were not
// reported, data from before it would be treated as current.
func TestSuspensionIsReportedOnce(t *testing.T) {
	var s Suspension
	assert.Equal(t, s.Since(100, 5100), Duration(0))
	assert.Equal(t, s.Since(200, 5250), Duration(0))
	assert.Equal(t, s.Since(225, 8250), Duration(3025))
	assert.Equal(t, s.Since(250, 8275), Duration(0))
}
