package commander

// Everything that a verb touches of its process is passed in, so that a whole session can be run and compared in
// one test process; the verbs that run a node, a backend server, the demo or a measurement are hooks, so that this
// package needs none of theirs.
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

// Code is an exit code; scripts rely on them.
type Code int

// The exit codes.
const (
	// Done means that what was asked for has happened.
	Done Code = 0
	// Failed means that it was refused, or failed for good.
	Failed Code = 1
	// BadInput means that the command line or a file is faulty; nothing was tried.
	BadInput Code = 2
	// Unreachable means that the log or a node gave no answer; the outcome may be unknown.
	Unreachable Code = 3
)

// Process is what a verb may use of its process.
type Process struct {
	Args []string
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	Now  func() time.Time
	// Random gives keys and the ids of changes.
	Random io.Reader
	// HTTP reaches the log and, without mutual TLS, the nodes.
	HTTP *http.Client
	// User is the name that stands in an operator's changes unless they give another.
	User string
}

// Format is how a verb prints what it found.
type Format string

// The formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Hooks run the verbs whose work lies in other packages.
type Hooks struct {
	Node    func(ctx context.Context, p Process, s loader.Settings) error
	Backend func(ctx context.Context, p Process, o BackendOptions) error
	Demo    func(ctx context.Context, p Process, o DemoOptions) error
	Sidecar func(ctx context.Context, p Process, o SidecarOptions) error
	// SettingsVariable names the environment variable with the sidecar's settings file; empty has none.
	SettingsVariable string
	// Measures become the verbs below `measure`.
	Measures []Measure
}

// SidecarOptions says what a node beside an endpoint runs with; File is read again when it changes.
type SidecarOptions struct {
	File     string
	Settings loader.Sidecar
}

// BackendOptions says how a backend server stand-in behaves.
type BackendOptions struct {
	// Node is the URL of the local address of its own node.
	Node    string
	Service string
	Listen  string
	// Slots and Connections are announced; Slots calls really run at once.
	Slots       int
	Connections int
	ServiceTime time.Duration
	// ColdStart is how long the first calls after the start are slow.
	ColdStart time.Duration
	// ReportedLoad multiplies the load that it reports; 1 tells the truth.
	ReportedLoad float64
	// Calls are nested calls to make for each call, as /service/path.
	Calls []string
}

// Deployment is one of the two shapes of the demo.
type Deployment string

// The deployments.
const (
	Concordia Deployment = "concordia"
	Kitakaze  Deployment = "kitakaze"
)

// DemoOptions says what the demo shows.
type DemoOptions struct {
	Deployment Deployment
	Format     Format
}

// Measure is one measurement, run as `measure NAME`.
type Measure struct {
	Name    string
	Help    string
	Example string
	// Bind adds the measurement's own flags; nil adds none.
	Bind func(*kingpin.CmdClause)
	Run  func(ctx context.Context, p Process, f Format) error
}
