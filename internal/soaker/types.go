package soaker

// A soak is a fleet of real processes, callers that send without pause, and a plan of faults derived from a seed. The
// same seed gives the same plan; the effects of the faults may differ, since the processes' timing does.
//
// Example: Run(ctx, Options{Program: "./jackdawtide", Seed: 7, Length: 30 * time.Second, Nodes: 6})

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Options configure a soak.
type Options struct {
	// Program is the built program under test, Directory where settings and logs of its processes are written.
	Program   string
	Directory string
	Seed      uint64
	// Length is how long faults are injected; callers continue for recoveryTime after it.
	Length time.Duration
	// Nodes is how many nodes run, at least one for each service.
	Nodes int
	// Faults are the names of the faults to inject; empty means all.
	Faults []string
	// Returns makes callers return once after a refusal that says when. Without it the demand does not depend on the
	// answers, as tests that compare the requests served with a limit need.
	Returns bool
	// Stays adds callers that stay on their connections, one request or two at a time. Without them a seed's demand is as it
	// was before they were added.
	Stays bool
	// Orders adds a caller at each node that sends only requests that may run once. Without it a seed's demand is as it was
	// before it was added.
	Orders bool
	// Probes adds routes and keys that operators change, and a caller at each node that probes what is in force there. Without it
	// a seed's demand is as it was before they were added.
	Probes bool
}

// Report is the outcome of a soak.
type Report struct {
	Seed     uint64
	Faults   []string
	Sent     int
	Served   int
	Runs     int
	Breaches []Breach
	// MaxLateness is how late the soak's own timers fired at most once the fleet had to have recovered.
	MaxLateness time.Duration
}

// OptionError reports an invalid option.
type OptionError struct {
	Option string
	Value  any
	Want   string
}

// Error names the option, its value and the expected value.
func (e OptionError) Error() string {
	return fmt.Sprintf("option %s is %v, want %s", e.Option, e.Value, e.Want)
}

// maxNodes keeps a soak within a few hundred processes and half of a machine's memory, at some 30 MB a node.
const maxNodes = 200

func (o Options) check() error {
	switch {
	case o.Program == "":
		return OptionError{Option: "program", Value: `""`, Want: "the path of the built program"}
	case o.Nodes < len(services) || o.Nodes > maxNodes:
		return OptionError{Option: "nodes", Value: o.Nodes, Want: fmt.Sprintf("%d to %d", len(services), maxNodes)}
	case o.Length <= 0:
		return OptionError{Option: "length", Value: o.Length, Want: "a positive time"}
	}
	for _, name := range o.Faults {
		if !slices.Contains(FaultNames(), name) {
			return OptionError{Option: "faults", Value: name, Want: strings.Join(FaultNames(), ", ")}
		}
	}
	return nil
}

// services are the services of the fleet; the first calls the last.
var services = []string{"portal", "desk", "clock"}

// orderService is the service of the requests that may run once only.
var orderService = services[1]
