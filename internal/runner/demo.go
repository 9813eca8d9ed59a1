// The demo reports its result by its exit code: if a guarantee was broken, the verb fails after the tables are printed.

package runner

import (
	"context"

	"github.com/jackdawtide/jackdawtide/internal/commander"
	"github.com/jackdawtide/jackdawtide/internal/demonstrator"
)

// Demo runs the demo and prints its report.
func Demo(ctx context.Context, p commander.Process, o commander.DemoOptions) error {
	r, err := demonstrator.Run(ctx, string(o.Deployment))
	if err != nil {
		return err
	}
	write := r.WriteText
	if o.Format == commander.JSON {
		write = r.WriteJSON
	}
	if err := write(p.Out); err != nil {
		return err
	}
	return r.Err()
}
