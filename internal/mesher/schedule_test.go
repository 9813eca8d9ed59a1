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
		"half a second": {grace: 500, readUntil: 1422, answerUntil: 1442},
		"two seconds":   {grace: 2000, readUntil: 2684, answerUntil: 2767},
		"six seconds":   {grace: 6000, readUntil: 6050, answerUntil: 6300},
		"a minute":      {grace: 60000, readUntil: 60050, answerUntil: 60300},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStopSchedule(1000, test.grace)
			assert.Equal(t, s, stopSchedule{begun: 1000, readUntil: test.readUntil, answerUntil: test.answerUntil})
			end := clock.Time(1000).Add(test.grace)
			assert.Assert(t, end.Sub(s.readUntil) <= test.grace/6)
		})
	}
}
