package commander

// Each verb finds a result and prints it in the format asked for, to one place; so no verb can print more in one
// format than in the other.
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

// result is what a verb found; its exported fields are its JSON form.
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

// writeTable writes rows in columns; the first row is the head.
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
