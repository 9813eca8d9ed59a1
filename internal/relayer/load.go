package relayer

// An endpoint may report its load in each answer. The node beside it reads the pace in the report and passes it on with
// the answer; the report itself does not leave the VM.
//
// Example: a load of 88,14,88,180 is passed on as p180; one of "busy" is counted and logged once, and passed on as none.

import (
	"net/http"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/gauger"
)

// paceIn returns the pace that an answer of the local endpoint reports, 0 if it reports none.
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

// reportPace passes on to the conductor the pace in the local endpoint's answer to a delivery, and returns it. This is done
// when the header arrives: a large answer ends long after that if its caller reads slowly.
func (r *Relayer) reportPace(id conductor.CallID, answer http.Header) gauger.Pace {
	p := r.paceIn(answer)
	if p > 0 {
		r.ApplyEvent(conductor.PaceReported{ID: id, Pace: p})
	}
	return p
}
