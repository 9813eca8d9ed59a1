package commander

import "context"

// `backend` has flags for everything in which a real backend server is known to differ from its promises: it may
// start cold, and its reported load may mislead.

func addBackend(c *cli) {
	o := &BackendOptions{}
	clause := c.add(c.app, "backend",
		"Run a stand-in of a backend server, for tests: it announces itself to its node and answers calls.",
		"jackdawtide backend --node http://127.0.0.1:8081 --service ice --slots 40 --service-time 20ms",
		func(ctx context.Context) error { return c.hooks.Backend(ctx, c.Process, *o) })
	clause.Flag("node", "URL of the local address of its node.").PlaceHolder("URL").Required().StringVar(&o.Node)
	clause.Flag("service", "Service that it runs.").PlaceHolder("NAME").Required().StringVar(&o.Service)
	clause.Flag("listen", "Address to listen on; port 0 takes any free port.").
		Default("127.0.0.1:0").StringVar(&o.Listen)
	clause.Flag("slots", "Calls that it runs at once, and announces.").Default("100").IntVar(&o.Slots)
	clause.Flag("connections", "Connections that it takes, and announces.").Default("700").IntVar(&o.Connections)
	clause.Flag("service-time", "Time that one call takes.").Default("20ms").DurationVar(&o.ServiceTime)
	clause.Flag("cold-start", "How long after its start calls are slow.").Default("0s").DurationVar(&o.ColdStart)
	clause.Flag("reported-load", "Factor on the load that it reports; 1 tells the truth.").
		Default("1").Float64Var(&o.ReportedLoad)
	clause.Flag("call", "Nested call to make for each call, as /service/path; may be repeated.").
		PlaceHolder("PATH").StringsVar(&o.Calls)
}
