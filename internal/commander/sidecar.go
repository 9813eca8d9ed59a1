package commander

// `sidecar` runs the node beside an endpoint on a platform that provides the store; `node` runs a node of a fleet that
// uses the platform's log.

import (
	"context"
	"os"

	"github.com/jackdawtide/jackdawtide/internal/loader"
)

func addSidecar(c *cli) {
	var file string
	clause := c.add(c.app, "sidecar", "Run the node beside this VM's endpoint, on the users' platform.",
		"jackdawtide sidecar --settings /etc/jackdawtide/sidecar.toml",
		func(ctx context.Context) error {
			s, err := readSidecarSettings(file)
			if err != nil {
				return err
			}
			return c.hooks.Sidecar(ctx, c.Process, SidecarOptions{File: file, Settings: s})
		})
	flag := clause.Flag("settings", "Settings file.").PlaceHolder("FILE").Required()
	if c.hooks.SettingsVariable != "" {
		flag = flag.Envar(c.hooks.SettingsVariable)
	}
	flag.StringVar(&file)
}

func readSidecarSettings(file string) (loader.Sidecar, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Sidecar{}, InputError{Cause: err}
	}
	return loader.ParseSidecar(data)
}
