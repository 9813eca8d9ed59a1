package commander

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// The operators' page of verbs is generated from the verbs, and a test compares the two, so that the page can't
// document a flag that no longer exists.

type documentation struct {
	model *kingpin.ApplicationModel
}

func addDocumentation(c *cli) {
	c.add(c.app, "documentation", "Print docs/operators/cli.md.", "jackdawtide documentation",
		func(context.Context) error {
			return documentation{model: c.app.Model()}.writeText(c.Out)
		}).Hidden()
}

const documentationHead = "# The command line\n\n" +
	"This page is printed by `go generate ./cmd/jackdawtide`; change the verbs, not the page.\n\n" +
	"Every verb takes `--help` and `--format text|json`. With `--format json`, failures come as JSON on standard\n" +
	"error, with `kind` one of `usage`, `input`, `faults`, `conflict`, `inDoubt`, `unreachable` and\n" +
	"`failed`.\n\n"

func (d documentation) writeText(w io.Writer) error {
	var b strings.Builder
	b.WriteString(documentationHead)
	b.WriteString(exitCodeTable())
	for _, m := range d.model.FlattenedCommands() {
		if !m.Hidden && m.Name != "help" {
			writeVerb(&b, m)
		}
	}
	_, err := io.WriteString(w, strings.TrimRight(b.String(), "\n")+"\n")
	return err
}

func exitCodeTable() string {
	_, lines, _ := strings.Cut(strings.TrimSpace(exitCodes), "\n")
	var b strings.Builder
	b.WriteString("| exit code | meaning |\n| --- | --- |\n")
	for line := range strings.SplitSeq(lines, "\n") {
		code, meaning, _ := strings.Cut(strings.TrimSpace(line), "  ")
		fmt.Fprintf(&b, "| %s | %s |\n", code, meaning)
	}
	b.WriteString("\n")
	return b.String()
}

func writeVerb(b *strings.Builder, m *kingpin.CmdModel) {
	fmt.Fprintf(b, "## %s\n\n%s\n\n    %s\n\n", m.FullCommand, m.Help, m.HelpLong)
	if len(m.Flags)+len(m.Args) == 0 {
		return
	}
	b.WriteString("| argument or flag | meaning |\n| --- | --- |\n")
	for _, a := range m.Args {
		fmt.Fprintf(b, "| `<%s>` | %s |\n", a.Name, a.HelpWithEnvar())
	}
	for _, f := range m.Flags {
		fmt.Fprintf(b, "| `--%s` | %s%s |\n", f.Name, f.HelpWithEnvar(), defaultOf(f))
	}
	b.WriteString("\n")
}

func defaultOf(f *kingpin.FlagModel) string {
	if f.Required {
		return " Required."
	}
	if len(f.Default) == 0 || f.Name == "base" {
		return ""
	}
	return " Default: " + strings.Join(f.Default, ", ") + "."
}
