package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

// `key list` also lists withdrawn keys, so that an operator can check whether a key was ever issued.

func addKeyList(c *cli, group *kingpin.CmdClause) {
	var team string
	clause := c.add(group, "list", "List the keys that were issued, by hash; keys themselves are stored nowhere.",
		"jackdawtide key list --log http://10.9.0.1:7000 --team harbourMasters", nil)
	flags := bindLog(clause)
	clause.Flag("team", "Only the keys of this team.").PlaceHolder("NAME").StringVar(&team)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		return c.withLog(ctx, flags, func(_ context.Context, _ *publisher.Publisher, v *publisher.View) error {
			return c.print(listKeys(v, identifier.Team(team)))
		})
	}
}
