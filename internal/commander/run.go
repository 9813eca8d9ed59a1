package commander

// The library parses, and ends the process where it prints help; here that end is only noted, since in a test
// there is no process to end. Verbs are run after parsing, by their full name.
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

// parent is what verbs can be added to.
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

// processExit is thrown where the library would end the process: it goes on otherwise, and would run the verb after
// printing its help.
type processExit struct {
	code int
}

// Run runs one command line and returns the exit code.
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
	c.app.Flag("format", "How to print: text or json.").
		Default(string(Text)).
		EnumVar((*string)(&c.format), string(Text), string(JSON))
	for _, add := range verbs {
		add(c)
	}
	return c
}

// verbs adds the verbs in the order in which the help lists them.
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

// guessFormat looks for the format in a command line that can't be parsed: a tool that asked for JSON must get its
// failure as JSON too.
func (c *cli) guessFormat() {
	line := strings.Join(c.Args, " ")
	if strings.Contains(line, "--format json") || strings.Contains(line, "--format=json") {
		c.format = JSON
	}
}

// add adds a verb; the example is shown at the end of its help.
func (c *cli) add(p parent, name, help, example string, run runner) *kingpin.CmdClause {
	clause := p.Command(name, help).HelpLong(example)
	c.runs[clause.FullCommand()] = run
	return clause
}

// nameStandardInput puts a name in place of "-". The library takes a lone dash for an empty text, which is also what a
// script passes whose variable is not set; that script would then wait on its terminal for ever.
func nameStandardInput(args []string) []string {
	named := slices.Clone(args)
	for i, a := range named {
		if a == "-" {
			named[i] = standardInput
		}
	}
	return named
}

// UsageError reports a command line that can't be used.
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

// InputError reports a file or an input that can't be used.
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

// asError finds an error of a type in a chain.
func asError[E error](err error) (E, bool) {
	var e E
	ok := errors.As(err, &e)
	return e, ok
}
