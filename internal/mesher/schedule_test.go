package mesher

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// A node that gives up requests before the last sixth of its grace time cuts what could have been answered; one without time
// left for its last steps is killed in them.
func TestStopUsesItsGraceTime(t *testing.T) {
	for name, test := range map[string]struct {
		grace                  clock.Duration
		readUntil, answerUntil clock.Time
	}{
		"half a second": {grace: 500, readUntil: 1439, answerUntil: 1459},
		"two seconds":   {grace: 2000, readUntil: 2751, answerUntil: 2834},
		"six seconds":   {grace: 6000, readUntil: 6250, answerUntil: 6500},
		"a minute":      {grace: 60000, readUntil: 60250, answerUntil: 60500},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStopSchedule(1000, test.grace)
			assert.Equal(t, s, stopSchedule{begun: 1000, readUntil: test.readUntil, answerUntil: test.answerUntil})
			end := clock.Time(1000).Add(test.grace)
			assert.Assert(t, end.Sub(s.answerUntil) <= test.grace/6)
		})
	}
}
