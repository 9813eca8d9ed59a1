package commander

import "context"

// `measure` has one verb for each figure that the docs give, so that every figure can be had again by one command.

func addMeasure(c *cli) {
	if len(c.hooks.Measures) == 0 {
		return
	}
	group := c.app.Command("measure", "Measure one matter on this machine, with stand-ins.")
	for _, m := range c.hooks.Measures {
		clause := c.add(group, m.Name, m.Help, m.Example, func(ctx context.Context) error {
			return m.Run(ctx, c.Process, c.format)
		})
		if m.Bind != nil {
			m.Bind(clause)
		}
	}
}
