package commander

// The verbs of presets, and what they share: reading a preset from a file or standard input, and naming the version
// that a change is made against.

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
	all := c.app.Command("preset", "Publish presets, put one in force, and see which is.")
	addPresetCheck(c, all)
	addPresetPublish(c, all)
	addPresetSwitch(c, all)
	addPresetList(c, all)
	addPresetShow(c, all)
	addPresetStatus(c, all)
}

const (
	standardInput = "<standard input>"
	// maxPresetFile bounds what is read: the log takes no larger record.
	maxPresetFile = 1 << 20
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
	data, err := io.ReadAll(io.LimitReader(in, maxPresetFile+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	if len(data) > maxPresetFile {
		return nil, fmt.Errorf("read %s: more than %d bytes", file, maxPresetFile)
	}
	return data, nil
}

// asRead as --base takes the version that the log shows when the verb starts.
const asRead = -1

func bindBase(clause *kingpin.CmdClause) *int64 {
	return clause.Flag("base", "Version that the change is made against; the default is the current one.").
		PlaceHolder("VERSION").Default(fmt.Sprint(asRead)).Int64()
}

func baseOr(base int64, current identifier.Version) identifier.Version {
	if base == asRead {
		return current
	}
	return identifier.Version(base)
}
