package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// `preset check` needs no log, so that a preset can be checked in its repository before it is published.

type checkedPreset struct {
	Preset   string `json:"preset"`
	Services int    `json:"services"`
	Teams    int    `json:"teams"`
}

func (r checkedPreset) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "preset %s is good: %d services, %d teams\n", r.Preset, r.Services, r.Teams)
	return err
}

func addPresetCheck(c *cli, group *kingpin.CmdClause) {
	var file string
	clause := c.add(group, "check", "Check a preset file and report every fault in it, without publishing it.",
		"jackdawtide preset check peak.toml",
		func(context.Context) error {
			p, err := c.readPreset(file)
			if err != nil {
				return err
			}
			return c.print(checkedPreset{Preset: string(p.Name), Services: len(p.Services), Teams: len(p.Teams)})
		})
	clause.Arg("file", "Preset file; - reads standard input.").Required().StringVar(&file)
}
