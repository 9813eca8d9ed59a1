package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// `completion` prints the library's shell scripts. On each completion they run this program for the candidates, so they
// stay valid when verbs change.

const (
	bash = "bash"
	zsh  = "zsh"
)

func addCompletion(c *cli) {
	var shell string
	clause := c.add(c.app, "completion", "Print a script that completes commands in a shell.",
		"source <(jackdawtide completion bash)",
		func(context.Context) error {
			template := kingpin.BashCompletionTemplate
			if shell == zsh {
				template = kingpin.ZshCompletionTemplate
			}
			parsed, err := c.app.ParseContext(nil)
			if err != nil {
				return err
			}
			return c.app.UsageForContextWithTemplate(parsed, 0, template)
		})
	clause.Arg("shell", "Shell: bash or zsh.").Required().EnumVar(&shell, bash, zsh)
}
