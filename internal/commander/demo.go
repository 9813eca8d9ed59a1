package commander

import "context"

// `demo` is the first verb that a newcomer runs, so it needs no file, no other process and no flag.

func addDemo(c *cli) {
	o := &DemoOptions{}
	clause := c.add(c.app, "demo",
		"Run a small fleet in this process, send calls through it, and check the guarantees given to callers.",
		"jackdawtide demo --deployment kitakaze",
		func(ctx context.Context) error {
			o.Format = c.format
			return c.hooks.Demo(ctx, c.Process, *o)
		})
	clause.Flag("deployment", "Set of services and teams: concordia or kitakaze.").
		Default(string(Kitakaze)).
		EnumVar((*string)(&o.Deployment), string(Concordia), string(Kitakaze))
}
