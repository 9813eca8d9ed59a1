package commander

import (
	"context"
	"io"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

// `preset list` also shows the version of the switch that put the preset in force, to which --base of `preset switch`
// refers.

type presetList struct {
	Version        int64       `json:"version"`
	InForce        string      `json:"inForce"`
	InForceVersion int64       `json:"inForceVersion"`
	Presets        []presetRow `json:"presets"`
}

type presetRow struct {
	Preset   string `json:"preset"`
	Version  int64  `json:"version"`
	InForce  bool   `json:"inForce"`
	Services int    `json:"services"`
	Teams    int    `json:"teams"`
}

func (r presetList) writeText(w io.Writer) error {
	rows := [][]string{{"PRESET", "VERSION", "IN FORCE", "SERVICES", "TEAMS"}}
	for _, p := range r.Presets {
		since := "-"
		if p.InForce {
			since = "since version " + strconv.FormatInt(r.InForceVersion, 10)
		}
		rows = append(rows, []string{
			p.Preset, strconv.FormatInt(p.Version, 10), since, strconv.Itoa(p.Services), strconv.Itoa(p.Teams),
		})
	}
	return writeTable(w, rows)
}

func addPresetList(c *cli, group *kingpin.CmdClause) {
	clause := c.add(group, "list", "List the published presets.",
		"jackdawtide preset list --log http://10.9.0.1:7000", nil)
	flags := bindLog(clause)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		return c.withLog(ctx, flags, func(_ context.Context, _ *publisher.Publisher, v *publisher.View) error {
			return c.print(listPresets(v))
		})
	}
}

func listPresets(v *publisher.View) presetList {
	l := presetList{
		Version:        int64(v.Version()),
		InForce:        string(inForce(v)),
		InForceVersion: int64(v.Base(publisher.InForce)),
		Presets:        []presetRow{},
	}
	for _, p := range v.Presets() {
		l.Presets = append(l.Presets, presetRow{
			Preset:   string(p.Preset.Name),
			Version:  int64(p.Version),
			InForce:  p.Preset.Name == inForce(v),
			Services: len(p.Preset.Services),
			Teams:    len(p.Preset.Teams),
		})
	}
	return l
}
