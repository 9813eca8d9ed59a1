package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

// `key issue` prints the key only after the log has accepted it. If the outcome stays unknown, the key is not printed,
// so no caller can hold it; the error contains its hash, which can be withdrawn if `key list` shows it.

type issuedKey struct {
	// Key is the key itself; it is printed once and stored nowhere.
	Key     string `json:"key"`
	Hash    string `json:"hash"`
	Team    string `json:"team"`
	Label   string `json:"label"`
	Version int64  `json:"version"`
}

func (r issuedKey) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "key: %s\nThis key is shown once. It is stored nowhere; pass it on safely.\nteam: %s\nhash: %s\nversion: %d\n",
		r.Key, r.Team, r.Hash, r.Version)
	return err
}

func addKeyIssue(c *cli, group *kingpin.CmdClause) {
	var team, label string
	clause := c.add(group, "issue", "Create a key for a team and print it once.",
		"jackdawtide key issue --log http://10.9.0.1:7000 --label 'port office' harbourMasters", nil)
	flags := bindChange(clause)
	clause.Flag("label", "Note that `key list` shows with the key.").PlaceHolder("TEXT").StringVar(&label)
	clause.Arg("team", "Name of the team; at least one published preset must define it.").Required().StringVar(&team)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		return c.withLog(ctx, flags, func(ctx context.Context, p *publisher.Publisher, v *publisher.View) error {
			k, err := p.Issue(ctx, v, identifier.Team(team), label)
			if err != nil {
				return err
			}
			return c.print(issuedKey{
				Key:     k.Secret.Reveal(),
				Hash:    string(k.Key.Hash),
				Team:    string(k.Key.Team),
				Label:   k.Key.Label,
				Version: int64(k.Version),
			})
		})
	}
}
