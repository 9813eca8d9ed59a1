package commander

import "context"

// `measure` has one verb for each measurement that the docs cite, so that one command reproduces its figures.

func addMeasure(c *cli) {
	if len(c.hooks.Measures) == 0 {
		return
	}
	group := c.app.Command("measure", "Run one measurement on this machine, with stand-ins.")
	for _, m := range c.hooks.Measures {
		clause := c.add(group, m.Name, m.Help, m.Example, func(ctx context.Context) error {
			return m.Run(ctx, c.Process, c.format)
		})
		if m.Bind != nil {
			m.Bind(clause)
		}
	}
}
