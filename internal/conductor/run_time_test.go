package conductor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

func TestRunTimeFollowsRuns(t *testing.T) {
	var p runTime
	assert.Equal(t, p.time(), clock.Duration(0))
	p.learn(40)
	assert.Equal(t, p.time(), clock.Duration(40))
	for range 100 {
		p.learn(20)
	}
	assert.Assert(t, p.time() >= 20 && p.time() <= 22, "%d", p.time())
	p.learnLowerBound(10)
	assert.Assert(t, p.time() >= 20, "%d", p.time())
	for range 100 {
		p.learnLowerBound(300)
	}
	assert.Assert(t, p.time() >= 280, "%d", p.time())
}
