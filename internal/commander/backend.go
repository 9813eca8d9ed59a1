package commander

import "context"

// `backend` has flags for the known ways in which a real backend server differs from what it announces: it may be slow
// after its start, and its reported load may be wrong.

func addBackend(c *cli) {
	o := &BackendOptions{}
	clause := c.add(c.app, "backend",
		"Run a stand-in for a backend server, for tests: it announces itself to its node and answers calls.",
		"jackdawtide backend --node http://127.0.0.1:8081 --service ice --slots 40 --service-time 20ms",
		func(ctx context.Context) error { return c.hooks.Backend(ctx, c.Process, *o) })
	clause.Flag("node", "URL of its node's local address.").PlaceHolder("URL").Required().StringVar(&o.Node)
	clause.Flag("service", "Service that it runs.").PlaceHolder("NAME").Required().StringVar(&o.Service)
	clause.Flag("listen", "Address to listen on; port 0 selects any free port.").
		Default("127.0.0.1:0").StringVar(&o.Listen)
	clause.Flag("slots", "Number of concurrent calls that it runs and announces.").Default("100").IntVar(&o.Slots)
	clause.Flag("connections", "Number of connections that it accepts and announces.").Default("700").IntVar(&o.Connections)
	clause.Flag("service-time", "Time that one call takes.").Default("20ms").DurationVar(&o.ServiceTime)
	clause.Flag("cold-start", "How long calls are slow after its start.").Default("0s").DurationVar(&o.ColdStart)
	clause.Flag("reported-load", "Factor on the load that it reports; 1 reports the true load.").
		Default("1").Float64Var(&o.ReportedLoad)
	clause.Flag("call", "Nested call to make for each call, as /service/path; may be repeated.").
		PlaceHolder("PATH").StringsVar(&o.Calls)
}
