package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/presetter"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

// `preset show` prints the format that `preset publish` reads, so that a change is: show, edit, publish.

type shownPreset struct {
	Preset  string `json:"preset"`
	Version int64  `json:"version"`
	InForce bool   `json:"inForce"`
	TOML    string `json:"toml"`
}

func (r shownPreset) writeText(w io.Writer) error {
	note := ""
	if r.InForce {
		note = ", in force"
	}
	_, err := fmt.Fprintf(w, "# version %d%s\n%s", r.Version, note, r.TOML)
	return err
}

// UnknownPresetError reports a preset that was never published.
type UnknownPresetError struct {
	Preset identifier.Preset
}

// Error names the preset.
func (e UnknownPresetError) Error() string {
	if e.Preset == "" {
		return "no preset is in force yet"
	}
	return fmt.Sprintf("preset %q was never published", string(e.Preset))
}

func addPresetShow(c *cli, group *kingpin.CmdClause) {
	var name string
	clause := c.add(group, "show", "Print a published preset as TOML, to be edited and published again.",
		"jackdawtide preset show --log http://10.9.0.1:7000 peak > peak.toml", nil)
	flags := bindLog(clause)
	clause.Arg("preset", "Name of the preset; the default is the one in force.").StringVar(&name)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		return c.withLog(ctx, flags, func(_ context.Context, _ *publisher.Publisher, v *publisher.View) error {
			wanted := identifier.Preset(name)
			if wanted == "" {
				wanted = inForce(v)
			}
			p, ok := v.Preset(wanted)
			if !ok {
				return UnknownPresetError{Preset: wanted}
			}
			text, err := presetter.Print(*p.Preset)
			if err != nil {
				return err
			}
			return c.print(shownPreset{
				Preset:  string(wanted),
				Version: int64(p.Version),
				InForce: wanted == inForce(v),
				TOML:    string(text),
			})
		})
	}
}
