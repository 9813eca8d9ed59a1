package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
)

// `dump` prints the node's answer unchanged but for indentation, so that a dump taken in an incident shows exactly what
// the node reported.

type document struct {
	json.RawMessage
}

func (r document) writeText(w io.Writer) error {
	var b bytes.Buffer
	if err := json.Indent(&b, bytes.TrimSpace(r.RawMessage), "", "  "); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	b.WriteByte('\n')
	_, err := b.WriteTo(w)
	return err
}

func addDump(c *cli) {
	var metrics bool
	clause := c.add(c.app, "dump", "Print the state of a node as JSON.",
		"jackdawtide dump --admin http://127.0.0.1:8082", nil)
	address, flags := bindAdminAddress(clause), bindAdmin(clause)
	clause.Flag("metrics", "Print the metrics instead of the state.").BoolVar(&metrics)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		client, err := c.adminClient(*address, flags)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, flags.timeout)
		defer cancel()
		get := client.Dump
		if metrics {
			get = client.Metrics
		}
		data, err := get(ctx)
		if err != nil {
			return err
		}
		return c.print(document{data})
	}
}
