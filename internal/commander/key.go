package commander

// The verbs of keys identify a key by its hash or a unique prefix of it. A key itself is never an argument: arguments
// are visible in the shell's history and in process lists.

import (
	"io"
	"strconv"

	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

func addKey(c *cli) {
	group := c.app.Command("key", "Issue and withdraw the keys of teams.")
	addKeyIssue(c, group)
	addKeyWithdraw(c, group)
	addKeyList(c, group)
}

type keyRow struct {
	Hash    string `json:"hash"`
	Team    string `json:"team"`
	Label   string `json:"label"`
	Issued  string `json:"issued"`
	Version int64  `json:"version"`
	State   string `json:"state"`
}

type keyList struct {
	Keys []keyRow `json:"keys"`
}

// shownHashLength is the number of hash characters that a table shows; enough to identify one key among millions.
const shownHashLength = 16

func (r keyList) writeText(w io.Writer) error {
	rows := [][]string{{"HASH", "TEAM", "LABEL", "ISSUED", "VERSION", "STATE"}}
	for _, k := range r.Keys {
		rows = append(rows, []string{
			k.Hash[:min(len(k.Hash), shownHashLength)], k.Team, orDash(k.Label), k.Issued,
			strconv.FormatInt(k.Version, 10), k.State,
		})
	}
	return writeTable(w, rows)
}

// listKeys lists the keys of a team, or of all teams if team is empty.
func listKeys(v *publisher.View, team identifier.Team) keyList {
	l := keyList{Keys: []keyRow{}}
	for _, k := range v.Keys() {
		if team == "" || k.Key.Team == team {
			l.Keys = append(l.Keys, keyRowOf(k))
		}
	}
	return l
}

func keyRowOf(k configurer.VersionedKey) keyRow {
	state := "valid"
	if k.Withdrawn {
		state = "withdrawn"
	}
	return keyRow{
		Hash:    string(k.Key.Hash),
		Team:    string(k.Key.Team),
		Label:   k.Key.Label,
		Issued:  formatWall(k.Key.Issued),
		Version: int64(k.Version),
		State:   state,
	}
}
