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

// `preset status` shows whether a change is in force on all nodes. Each node holds the last status that it received from
// the others of its failure domain, so one admin address for each failure domain covers all nodes; further addresses show
// more while nodes of a domain can't reach each other.

type presetStatus struct {
	// Newest is the highest version that any node has in force; nodes with a lower version lag.
	Newest  int64       `json:"newest"`
	Lagging int         `json:"lagging"`
	Nodes   []statusRow `json:"nodes"`
	// Unanswered are the admin endpoints that did not answer.
	Unanswered []unansweredRow `json:"silent"`
}

type statusRow struct {
	inspector.NodeStatus
	Lags bool `json:"lags"`
}

type unansweredRow struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

func (r presetStatus) writeText(w io.Writer) error {
	rows := [][]string{{"NODE", "FAILURE DOMAIN", "PRESET", "VERSION", "NEWS", "STATE"}}
	for _, n := range r.Nodes {
		rows = append(rows, []string{
			n.Node, n.FailureDomain, orDash(n.Preset), strconv.FormatInt(n.Version, 10), formatAge(n.SilenceMs), n.state(),
		})
	}
	if err := writeTable(w, rows); err != nil {
		return err
	}
	for _, s := range r.Unanswered {
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

// formatAge formats the age of a node's newest information from the log.
func formatAge(silenceMs int64) string {
	if silenceMs < 0 {
		return "never"
	}
	return clock.Duration(silenceMs).Std().String() + " ago"
}

// LaggingError reports nodes on which the newest configuration is not yet in force.
type LaggingError struct {
	Lagging    int
	Unanswered int
}

// Error gives the counts.
func (e LaggingError) Error() string {
	return fmt.Sprintf("%d nodes lag, %d endpoints gave no answer", e.Lagging, e.Unanswered)
}

func addPresetStatus(c *cli, group *kingpin.CmdClause) {
	clause := c.add(group, "status", "Show the preset in force on each node and which nodes lag; exits with 1 if any node lags or does not answer.",
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
		if s.Lagging > 0 || len(s.Unanswered) > 0 {
			return LaggingError{Lagging: s.Lagging, Unanswered: len(s.Unanswered)}
		}
		return nil
	}
}

func (c *cli) collectStatus(ctx context.Context, addresses []string, f *adminFlags) (presetStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	newest := map[string]inspector.NodeStatus{}
	unanswered := []unansweredRow{}
	var lastErr error
	for _, a := range addresses {
		client, err := c.adminClient(a, f)
		if err != nil {
			return presetStatus{}, err
		}
		s, err := client.Status(ctx)
		if err != nil {
			unanswered = append(unanswered, unansweredRow{Address: a, Error: err.Error()})
			lastErr = err
			continue
		}
		for _, n := range append(s.Fleet, s.Self) {
			keepNewest(newest, n)
		}
	}
	if len(unanswered) == len(addresses) {
		return presetStatus{}, lastErr
	}
	return newPresetStatus(newest, unanswered), nil
}

// keepNewest keeps the status with the highest version that any endpoint reported for a node.
func keepNewest(newest map[string]inspector.NodeStatus, n inspector.NodeStatus) {
	known, ok := newest[n.Node]
	if !ok || n.Version >= known.Version {
		newest[n.Node] = n
	}
}

func newPresetStatus(newest map[string]inspector.NodeStatus, unanswered []unansweredRow) presetStatus {
	r := presetStatus{Nodes: []statusRow{}, Unanswered: unanswered}
	for _, n := range newest {
		r.Newest = max(r.Newest, n.Version)
	}
	for _, n := range newest {
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
