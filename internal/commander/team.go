package commander

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

// A team has no record of its own in the log: presets set its rate, burst and weight, and keys authenticate its callers.
// The verbs of teams show both, since operators need them together.

type teamRow struct {
	Preset string `json:"preset"`
	// Rate is in calls per second and Burst in calls; both are totals over all VMs.
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	Weight int     `json:"weight"`
}

type teamList struct {
	Preset string        `json:"preset"`
	Teams  []teamListRow `json:"teams"`
}

type teamListRow struct {
	Team string `json:"team"`
	teamRow
	ValidKeys int `json:"validKeys"`
}

func (r teamList) writeText(w io.Writer) error {
	rows := [][]string{{"TEAM", "RATE", "BURST", "WEIGHT", "VALID KEYS"}}
	for _, t := range r.Teams {
		rows = append(rows, append([]string{t.Team}, append(t.cells(), strconv.Itoa(t.ValidKeys))...))
	}
	return writeTable(w, rows)
}

func (t teamRow) cells() []string {
	return []string{formatNumber(t.Rate) + "/s", formatNumber(t.Burst), strconv.Itoa(t.Weight)}
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func teamRowOf(p identifier.Preset, t definer.Team) teamRow {
	return teamRow{
		Preset: string(p),
		Rate:   float64(t.Rate) / float64(identifier.TokensPerCall),
		Burst:  float64(t.Burst) / float64(identifier.TokensPerCall),
		Weight: t.Weight,
	}
}

func addTeam(c *cli) {
	group := c.app.Command("team", "Show the rates and keys of teams.")
	addTeamList(c, group)
	addTeamShow(c, group)
}

func addTeamList(c *cli, group *kingpin.CmdClause) {
	var preset string
	clause := c.add(group, "list", "List the teams of the preset in force, or of another one.",
		"jackdawtide team list --log http://10.9.0.1:7000", nil)
	flags := bindLog(clause)
	clause.Flag("preset", "Name of the preset; the default is the one in force.").PlaceHolder("NAME").StringVar(&preset)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		return c.withLog(ctx, flags, func(_ context.Context, _ *publisher.Publisher, v *publisher.View) error {
			wanted := identifier.Preset(preset)
			if wanted == "" {
				wanted = inForce(v)
			}
			p, ok := v.Preset(wanted)
			if !ok {
				return UnknownPresetError{Preset: wanted}
			}
			return c.print(listTeams(v, p.Preset))
		})
	}
}

func listTeams(v *publisher.View, p *definer.Preset) teamList {
	valid := map[identifier.Team]int{}
	for _, k := range v.Keys() {
		if !k.Withdrawn {
			valid[k.Key.Team]++
		}
	}
	l := teamList{Preset: string(p.Name), Teams: []teamListRow{}}
	for _, t := range p.Teams {
		l.Teams = append(l.Teams, teamListRow{
			Team:      string(t.Name),
			teamRow:   teamRowOf(p.Name, t),
			ValidKeys: valid[t.Name],
		})
	}
	return l
}

type shownTeam struct {
	Team    string    `json:"team"`
	Presets []teamRow `json:"presets"`
	Keys    []keyRow  `json:"keys"`
}

func (r shownTeam) writeText(w io.Writer) error {
	rows := [][]string{{"PRESET", "RATE", "BURST", "WEIGHT"}}
	for _, p := range r.Presets {
		rows = append(rows, append([]string{p.Preset}, p.cells()...))
	}
	if err := writeTable(w, rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return keyList{Keys: r.Keys}.writeText(w)
}

func addTeamShow(c *cli, group *kingpin.CmdClause) {
	var name string
	clause := c.add(group, "show", "Show one team in all presets and its keys.",
		"jackdawtide team show --log http://10.9.0.1:7000 harbourMasters", nil)
	flags := bindLog(clause)
	clause.Arg("team", "Name of the team.").Required().StringVar(&name)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		return c.withLog(ctx, flags, func(_ context.Context, _ *publisher.Publisher, v *publisher.View) error {
			s := showTeam(v, identifier.Team(name))
			if len(s.Presets) == 0 && len(s.Keys) == 0 {
				return publisher.UnknownTeamError{Team: identifier.Team(name)}
			}
			return c.print(s)
		})
	}
}

func showTeam(v *publisher.View, name identifier.Team) shownTeam {
	s := shownTeam{Team: string(name), Presets: []teamRow{}, Keys: listKeys(v, name).Keys}
	for _, p := range v.Presets() {
		for _, t := range p.Preset.Teams {
			if t.Name == name {
				s.Presets = append(s.Presets, teamRowOf(p.Preset.Name, t))
			}
		}
	}
	return s
}
