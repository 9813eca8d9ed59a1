package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
)

// `preset status` answers whether a change is in force everywhere. One node knows of the others what it last
// heard, so one address is enough; several addresses show more where failure domains are cut off from each other.

type presetStatus struct {
	// Newest is the highest version that any node has; the nodes below it lag.
	Newest  int64       `json:"newest"`
	Lagging int         `json:"lagging"`
	Nodes   []statusRow `json:"nodes"`
	// Silent are the admin endpoints that gave no answer.
	Silent []silentRow `json:"silent"`
}

type statusRow struct {
	inspector.NodeStatus
	Lags bool `json:"lags"`
}

type silentRow struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

func (r presetStatus) writeText(w io.Writer) error {
	rows := [][]string{{"NODE", "FAILURE DOMAIN", "PRESET", "VERSION", "NEWS", "STATE"}}
	for _, n := range r.Nodes {
		rows = append(rows, []string{
			n.Node, n.FailureDomain, orDash(n.Preset), strconv.FormatInt(n.Version, 10), news(n.SilenceMs), n.state(),
		})
	}
	if err := writeTable(w, rows); err != nil {
		return err
	}
	for _, s := range r.Silent {
		if _, err := fmt.Fprintf(w, "no answer from %s: %s\n", s.Address, s.Error); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d of %d nodes lag behind version %d\n", r.Lagging, len(r.Nodes), r.Newest)
	return err
}

func (n statusRow) state() string {
	switch {
	case n.Leaving:
		return "leaving"
	case n.Lags:
		return "lags"
	}
	return "current"
}

func news(silenceMs int64) string {
	if silenceMs < 0 {
		return "never"
	}
	return clock.Duration(silenceMs).Std().String() + " ago"
}

// LaggingError reports nodes on which the newest configuration is not yet in force.
type LaggingError struct {
	Lagging int
	Silent  int
}

// Error gives the counts.
func (e LaggingError) Error() string {
	return fmt.Sprintf("%d nodes lag, %d endpoints gave no answer", e.Lagging, e.Silent)
}

func addPresetStatus(c *cli, all *kingpin.CmdClause) {
	clause := c.add(all, "status", "Show the preset in force on each node, and which nodes lag; exits with 1 if any does.",
		"jackdawtide preset status --admin http://127.0.0.1:8082", nil)
	flags := bindAdmin(clause)
	addresses := clause.Flag("admin", "URL of a node's admin endpoint; may be repeated.").
		Envar(adminVariable).PlaceHolder("URL").Required().Strings()
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		s, err := c.collectStatus(ctx, *addresses, flags)
		if err != nil {
			return err
		}
		if err := c.print(s); err != nil {
			return err
		}
		if s.Lagging > 0 || len(s.Silent) > 0 {
			return LaggingError{Lagging: s.Lagging, Silent: len(s.Silent)}
		}
		return nil
	}
}

func (c *cli) collectStatus(ctx context.Context, addresses []string, f *adminFlags) (presetStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	best := map[string]inspector.NodeStatus{}
	silent := []silentRow{}
	var last error
	for _, a := range addresses {
		client, err := c.inspect(a, f)
		if err != nil {
			return presetStatus{}, err
		}
		s, err := client.Status(ctx)
		if err != nil {
			silent = append(silent, silentRow{Address: a, Error: err.Error()})
			last = err
			continue
		}
		for _, n := range append(s.Fleet, s.Self) {
			merge(best, n)
		}
	}
	if len(silent) == len(addresses) {
		return presetStatus{}, last
	}
	return judge(best, silent), nil
}

// merge keeps the newest that anyone tells of a node.
func merge(best map[string]inspector.NodeStatus, n inspector.NodeStatus) {
	known, ok := best[n.Node]
	if !ok || n.Version >= known.Version {
		best[n.Node] = n
	}
}

func judge(best map[string]inspector.NodeStatus, silent []silentRow) presetStatus {
	r := presetStatus{Nodes: []statusRow{}, Silent: silent}
	for _, n := range best {
		r.Newest = max(r.Newest, n.Version)
	}
	for _, n := range best {
		row := statusRow{NodeStatus: n, Lags: n.Version < r.Newest && !n.Leaving}
		if row.Lags {
			r.Lagging++
		}
		r.Nodes = append(r.Nodes, row)
	}
	slices.SortFunc(r.Nodes, func(a, b statusRow) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Node, b.Node))
	})
	return r
}
