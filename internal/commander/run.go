package commander

// The kingpin library exits the process after it prints help. Tests run several command lines in one process, so here
// the exit is turned into a panic and recovered as an exit code. Verbs run after parsing, looked up by their full name.
//
// Example: "preset switch peak" → runs["preset switch"].

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

const program = "jackdawtide"

type runner func(ctx context.Context) error

// parent is the application or a group to which verbs can be added.
type parent interface {
	Command(name, help string) *kingpin.CmdClause
}

type cli struct {
	Process
	hooks  Hooks
	app    *kingpin.Application
	runs   map[string]runner
	format Format
}

// processExit is the panic value that replaces the library's exit of the process. If the exit function returned, the
// library would continue and run the verb after printing its help.
type processExit struct {
	code int
}

// Run executes one command line and returns its exit code.
func Run(ctx context.Context, p Process, h Hooks) Code {
	c := newCLI(p, h)
	name, code, err := c.parse()
	if code != nil {
		return *code
	}
	if err == nil {
		err = c.runs[name](ctx)
	}
	if err != nil {
		c.printError(err)
	}
	return codeOf(err)
}

func newCLI(p Process, h Hooks) *cli {
	c := &cli{Process: p, hooks: h, runs: map[string]runner{}, format: Text}
	c.app = kingpin.New(program, rootHelp)
	c.app.UsageTemplate(usageTemplate)
	c.app.UsageWriter(p.Out)
	c.app.ErrorWriter(p.Err)
	c.app.Terminate(func(code int) { panic(processExit{code: code}) })
	c.app.Flag("format", "Output format: text or json.").
		Default(string(Text)).
		EnumVar((*string)(&c.format), string(Text), string(JSON))
	for _, add := range verbs {
		add(c)
	}
	return c
}

// verbs holds the functions that add the verbs, in the order of the help.
var verbs = []func(*cli){
	addNode, addSidecar, addLog, addBackend, addDemo, addMeasure,
	addPreset, addTeam, addKey,
	addDump, addExplain, addCert, addSettings,
	addVersion, addCompletion, addDocumentation,
}

func (c *cli) parse() (name string, code *Code, err error) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		e, ok := r.(processExit)
		if !ok {
			panic(r)
		}
		end := Code(e.code)
		code = &end
	}()
	name, err = c.app.Parse(nameStandardInput(c.Args))
	if err != nil {
		c.guessFormat()
		return "", nil, UsageError{Cause: err}
	}
	return name, nil, nil
}

// guessFormat looks for the format in a command line that can't be parsed: a tool that requested JSON must get the
// failure as JSON too.
func (c *cli) guessFormat() {
	line := strings.Join(c.Args, " ")
	if strings.Contains(line, "--format json") || strings.Contains(line, "--format=json") {
		c.format = JSON
	}
}

// add registers a verb; its example is printed at the end of its help.
func (c *cli) add(p parent, name, help, example string, run runner) *kingpin.CmdClause {
	clause := p.Command(name, help).HelpLong(example)
	c.runs[clause.FullCommand()] = run
	return clause
}

// nameStandardInput replaces "-" by a placeholder name. The library parses a lone dash as an empty string, which a
// script with an unset variable also passes; if an empty string meant standard input, that script would block
// on its terminal.
func nameStandardInput(args []string) []string {
	named := slices.Clone(args)
	for i, a := range named {
		if a == "-" {
			named[i] = standardInput
		}
	}
	return named
}

// UsageError reports an invalid command line.
type UsageError struct {
	Cause error
}

// Error gives the cause.
func (e UsageError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e UsageError) Unwrap() error {
	return e.Cause
}

// InputError reports a file or standard input that can't be read or is invalid.
type InputError struct {
	Cause error
}

// Error gives the cause.
func (e InputError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e InputError) Unwrap() error {
	return e.Cause
}

// asError returns the first error of type E in the chain of err.
func asError[E error](err error) (E, bool) {
	var e E
	ok := errors.As(err, &e)
	return e, ok
}
