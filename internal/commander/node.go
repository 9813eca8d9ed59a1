package commander

// `node` validates all settings before it listens on any address, so that an invalid file ends the process at once
// instead of leaving a partly started node on the VM.

import (
	"context"
	"os"

	"github.com/jackdawtide/jackdawtide/internal/loader"
)

func addNode(c *cli) {
	var file string
	clause := c.add(c.app, "node", "Run the node of this VM.",
		"jackdawtide node --settings /etc/jackdawtide/node.toml",
		func(ctx context.Context) error {
			s, err := readSettings(file)
			if err != nil {
				return err
			}
			return c.hooks.Node(ctx, c.Process, s)
		})
	clause.Flag("settings", "Settings file.").PlaceHolder("FILE").Required().StringVar(&file)
}

func readSettings(file string) (loader.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Settings{}, InputError{Cause: err}
	}
	return loader.Parse(data)
}
