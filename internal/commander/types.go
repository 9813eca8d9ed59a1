package commander

// Everything that a verb uses of its process is passed in, so that a test can run a whole session in one process and
// compare its output. The verbs that run a node, a backend server, the demo or a measurement are hooks, so that this
// package does not import the packages that implement them.
//
// Example: os.Exit(int(commander.Run(ctx, p, commander.Hooks{Node: runNode})))

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/loader"
)

// Code is an exit code of the program; scripts depend on the values.
type Code int

// The exit codes.
const (
	// Done means that the verb succeeded.
	Done Code = 0
	// Failed means that the change was refused or the verb failed.
	Failed Code = 1
	// BadInput means that the command line or a file is invalid; nothing was changed.
	BadInput Code = 2
	// Unreachable means that the log or a node did not answer; the outcome may be unknown.
	Unreachable Code = 3
)

// Process holds everything that a verb may use of its process.
type Process struct {
	Args []string
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	Now  func() time.Time
	// Random is the source of randomness for keys and the ids of changes.
	Random io.Reader
	// HTTP is the client for the log and, without mutual TLS, for the nodes' admin endpoints.
	HTTP *http.Client
	// User is the operator name that is recorded in changes unless a flag gives another one.
	User string
}

// Format is the output format of a verb's result.
type Format string

// The formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Hooks are the verbs that other packages implement.
type Hooks struct {
	Node    func(ctx context.Context, p Process, s loader.Settings) error
	Backend func(ctx context.Context, p Process, o BackendOptions) error
	Demo    func(ctx context.Context, p Process, o DemoOptions) error
	Sidecar func(ctx context.Context, p Process, o SidecarOptions) error
	// SettingsVariable is the environment variable that holds the path of the sidecar's settings file; empty means none.
	SettingsVariable string
	// Measures become the verbs below `measure`.
	Measures []Measure
}

// SidecarOptions configures a node beside an endpoint; File is read again when it changes.
type SidecarOptions struct {
	File     string
	Settings loader.Sidecar
}

// BackendOptions configures a stand-in for a backend server.
type BackendOptions struct {
	// Node is the URL of the local address of its own node.
	Node    string
	Service string
	Listen  string
	// Slots and Connections are announced to the node; the stand-in runs at most Slots calls concurrently.
	Slots       int
	Connections int
	ServiceTime time.Duration
	// ColdStart is the time after the start during which calls are slow.
	ColdStart time.Duration
	// ReportedLoad is a factor on the load that it reports; 1 reports the true load.
	ReportedLoad float64
	// Calls are the nested calls to make for each call, as /service/path.
	Calls []string
}

// Deployment is one of the demo's two sets of services and teams.
type Deployment string

// The deployments.
const (
	Concordia Deployment = "concordia"
	Kitakaze  Deployment = "kitakaze"
)

// DemoOptions configures the demo.
type DemoOptions struct {
	Deployment Deployment
	Format     Format
}

// Measure is one measurement, run as `measure NAME`.
type Measure struct {
	Name    string
	Help    string
	Example string
	// Bind adds the measurement's flags; nil adds none.
	Bind func(*kingpin.CmdClause)
	Run  func(ctx context.Context, p Process, f Format) error
}
