package commander

// The group of preset verbs and their common parts: reading a preset from a file or standard input, and the --base flag
// with the version that a change is made against.

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/presetter"
)

func addPreset(c *cli) {
	group := c.app.Command("preset", "Publish presets, put one in force, and show which one is in force.")
	addPresetCheck(c, group)
	addPresetPublish(c, group)
	addPresetSwitch(c, group)
	addPresetList(c, group)
	addPresetShow(c, group)
	addPresetStatus(c, group)
}

const (
	standardInput = "<standard input>"
	// maxPresetBytes limits a preset file: the log accepts no larger record.
	maxPresetBytes = 1 << 20
)

func (c *cli) readPreset(file string) (definer.Preset, error) {
	data, err := c.readInput(file)
	if err != nil {
		return definer.Preset{}, InputError{Cause: err}
	}
	return presetter.Parse(data)
}

func (c *cli) readInput(file string) ([]byte, error) {
	in := c.In
	if file != standardInput {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxPresetBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	if len(data) > maxPresetBytes {
		return nil, fmt.Errorf("read %s: more than %d bytes", file, maxPresetBytes)
	}
	return data, nil
}

// currentBase as the value of --base stands for the version that the log holds when the verb starts.
const currentBase = -1

func bindBase(clause *kingpin.CmdClause) *int64 {
	return clause.Flag("base", "Version that the change is made against; the default is the current one.").
		PlaceHolder("VERSION").Default(fmt.Sprint(currentBase)).Int64()
}

func resolveBase(base int64, current identifier.Version) identifier.Version {
	if base == currentBase {
		return current
	}
	return identifier.Version(base)
}
