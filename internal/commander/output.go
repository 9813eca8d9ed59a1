package commander

// Each verb returns one result value, and this file prints it as text or JSON, so that both formats come from the same
// data.
//
// Example: c.print(keyList{…}) writes a table, or {"keys":[…]}.

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// result is the result of a verb; its exported fields are its JSON form.
type result interface {
	writeText(w io.Writer) error
}

func (c *cli) print(r result) error {
	if c.format == JSON {
		return writeJSON(c.Out, r)
	}
	return r.writeText(c.Out)
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// writeTable writes rows as aligned columns; the first row is the table head.
func writeTable(w io.Writer, rows [][]string) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	for _, r := range rows {
		line := strings.Join(r, "\t")
		if _, err := fmt.Fprintln(t, line); err != nil {
			return err
		}
	}
	return t.Flush()
}

func formatWall(w clock.Wall) string {
	return time.UnixMilli(int64(w)).UTC().Format(time.RFC3339)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
