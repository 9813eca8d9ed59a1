package relayer

// An endpoint may report its load in each answer. The node beside it reads the pace in the report and passes it on with
// the answer; the report itself does not leave the VM.
//
// Example: a load of 88,14,88,180 is passed on as p180; one of "busy" is counted and logged once, and passed on as none.

import (
	"net/http"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
)

// paceIn returns the pace that an answer of the local endpoint tells, 0 if it tells none.
func (r *Relayer) paceIn(answer http.Header) gauger.Pace {
	// The key is canonical and is looked up directly, since this is done for every answer.
	values := answer[r.options.Headers.Load]
	if len(values) == 0 {
		return 0
	}
	text := values[0]
	if len(values) > 1 {
		text = strings.Join(values, ",")
	}
	report, err := gauger.Decode(text)
	if err != nil {
		r.options.Recorder.InvalidLoad(err)
		return 0
	}
	return report.Pace
}

// paceSince returns a pace that was told at the given time if it may still count as the present one, and 0 otherwise. A
// large answer ends long after its header arrived if its caller reads slowly.
func (r *Relayer) paceSince(p gauger.Pace, toldAt clock.Time) gauger.Pace {
	if r.options.Clock.Now().Sub(toldAt) > conductor.MaxPassedPaceAge {
		return 0
	}
	return p
}
