package relayer

// What the conductor says of the configuration by which it decides is passed on to the log.
//
// Example: a request refused by version 12, proved 1900 ms before by node c: "version":12,"proofAgeMs":1900,"proofFrom":"c".

import (
	"context"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/recorder"
)

func (r *Relayer) logInForce(e conductor.ConfigurationInForce) {
	r.options.Recorder.PutInForce(recorder.InForce{
		Version: e.Version, Previous: e.Previous, From: e.From, Within: e.Within, Outdated: e.OutdatedCount,
	})
	for _, o := range e.Outdated {
		r.options.Recorder.DecidedByOlder(recorder.Outdated{
			Request: string(o.Request), Path: o.Path, Status: o.Status, Route: o.Route, Newer: e.Version, After: o.Age,
			Basis: recorder.Basis(o.Basis),
		})
	}
}

// confirmedBodyLimit returns how many bytes a body may have by the configuration in force, 0 for any number. If the last proof that it
// is the newest is too old to decide by, it first waits for the next one.
func (r *Relayer) confirmedBodyLimit(ctx context.Context) (limit int64) {
	overdue := false
	read := func(c *conductor.Conductor, _ clock.Time) {
		overdue = c.ConfigurationOverdue(r.options.Boot.Now())
		if m := c.Matcher(); m != nil {
			limit = m.Configuration().Limits.BodyBytes
		}
	}
	r.View(read)
	if overdue && r.options.Confirm != nil {
		r.options.Confirm(ctx)
		r.View(read)
	}
	return limit
}
