package conductor

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against refusals for a queue that is long for a moment only.
func TestStandingQueueIsItsSmallestLength(t *testing.T) {
	var q queueFloor
	for range queueFloorTicks - 1 {
		q.observe(80)
	}
	assert.Equal(t, q.standing(), 0)
	q.observe(90)
	assert.Equal(t, q.standing(), 80)
	q.observe(12)
	assert.Equal(t, q.standing(), 12)
	for range queueFloorTicks {
		q.observe(60)
	}
	assert.Equal(t, q.standing(), 60)
}
