package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

// `preset switch` prints the preset that was in force before, which an operator needs to switch back.

type switchedPreset struct {
	Preset  string `json:"preset"`
	Before  string `json:"before"`
	Version int64  `json:"version"`
}

func (r switchedPreset) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "accepted: preset %s is in force since version %d, before it %s\n",
		r.Preset, r.Version, orDash(r.Before))
	return err
}

func addPresetSwitch(c *cli, group *kingpin.CmdClause) {
	var name string
	clause := c.add(group, "switch", "Put a published preset in force; running calls continue.",
		"jackdawtide preset switch --log http://10.9.0.1:7000 peak", nil)
	flags, base := bindChange(clause), bindBase(clause)
	clause.Arg("preset", "Name of the preset.").Required().StringVar(&name)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		return c.withLog(ctx, flags, func(ctx context.Context, p *publisher.Publisher, v *publisher.View) error {
			if _, ok := v.Preset(identifier.Preset(name)); !ok {
				return UnknownPresetError{Preset: identifier.Preset(name)}
			}
			before := inForce(v)
			against := resolveBase(*base, v.Base(publisher.InForce))
			version, err := p.Switch(ctx, v, identifier.Preset(name), against)
			if err != nil {
				return err
			}
			return c.print(switchedPreset{Preset: name, Before: string(before), Version: int64(version)})
		})
	}
}
