package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

// `preset publish` changes the content of a preset. If that preset is in force, the change takes effect on all nodes
// within seconds, so the output says whether it is in force.

type publishedPreset struct {
	Preset  string `json:"preset"`
	Version int64  `json:"version"`
	InForce bool   `json:"inForce"`
}

func (r publishedPreset) writeText(w io.Writer) error {
	note := "not in force"
	if r.InForce {
		note = "in force"
	}
	_, err := fmt.Fprintf(w, "accepted: preset %s is at version %d, %s\n", r.Preset, r.Version, note)
	return err
}

func addPresetPublish(c *cli, group *kingpin.CmdClause) {
	var file string
	clause := c.add(group, "publish", "Publish a new or changed preset.",
		"jackdawtide preset publish --log http://10.9.0.1:7000 peak.toml", nil)
	flags, base := bindChange(clause), bindBase(clause)
	clause.Arg("file", "Preset file; - reads standard input.").Required().StringVar(&file)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		preset, err := c.readPreset(file)
		if err != nil {
			return err
		}
		return c.withLog(ctx, flags, func(ctx context.Context, p *publisher.Publisher, v *publisher.View) error {
			against := resolveBase(*base, v.Base(publisher.PresetSubject(preset.Name)))
			version, err := p.Publish(ctx, v, preset, against)
			if err != nil {
				return err
			}
			return c.print(publishedPreset{
				Preset:  string(preset.Name),
				Version: int64(version),
				InForce: inForce(v) == preset.Name,
			})
		})
	}
}

// inForce returns the name of the preset in force, empty before the first switch.
func inForce(v *publisher.View) identifier.Preset {
	p, _ := v.InForce()
	if p == nil {
		return ""
	}
	return p.Name
}
