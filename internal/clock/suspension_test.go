package clock

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A VM is suspended for three seconds and its process does not see them pass. Whoever asks for what it believes would
// get news of before as if they were of now.
func TestSuspensionIsReportedOnce(t *testing.T) {
	var s Suspension
	assert.Equal(t, s.Since(100, 5100), Duration(0))
	assert.Equal(t, s.Since(200, 5250), Duration(0))
	assert.Equal(t, s.Since(225, 8250), Duration(3025))
	assert.Equal(t, s.Since(250, 8275), Duration(0))
}
