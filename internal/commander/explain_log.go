package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/jackdawtide/jackdawtide/internal/tracer"
)

// `explain --log` replaces a manual search through the logs of many nodes: it prints the request's own lines, the nested
// calls that failed while it ran, and the load and events of the nodes that took part.

// tracedRequest is the printed form of a trace.
type tracedRequest struct {
	Request string       `json:"request"`
	Cause   string       `json:"cause"`
	Lines   []tracedLine `json:"lines"`
	Nested  []tracedLine `json:"failedNestedCalls"`
	Loads   []tracedLine `json:"loads"`
	Events  []tracedLine `json:"events"`
}

type tracedLine struct {
	Time string `json:"time"`
	Node string `json:"node"`
	What string `json:"what"`
}

const traceTime = "15:04:05.000"

func (r tracedRequest) writeText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "request: %s\ncause: %s\n", r.Request, r.Cause); err != nil {
		return err
	}
	for _, part := range []struct {
		title string
		lines []tracedLine
	}{
		{"its lines", r.Lines},
		{"nested calls that failed while it ran", r.Nested},
		{"load", r.Loads},
		{"events", r.Events},
	} {
		if len(part.lines) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "\n%s:\n", part.title); err != nil {
			return err
		}
		rows := make([][]string, 0, len(part.lines))
		for _, l := range part.lines {
			rows = append(rows, []string{"  " + l.Time, l.Node, l.What})
		}
		if err := writeTable(w, rows); err != nil {
			return err
		}
	}
	return nil
}

func (c *cli) explainLogs(files []string, request string) error {
	var lines []tracer.Line
	for _, name := range files {
		more, err := c.readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	trace, err := tracer.Find(lines, request)
	if err != nil {
		return InputError{Cause: err}
	}
	return c.print(tracedRequest{
		Request: trace.Request,
		Cause:   trace.Cause,
		Lines:   tracedLines(trace.Lines),
		Nested:  tracedLines(trace.Nested),
		Loads:   tracedLines(trace.Loads),
		Events:  tracedLines(trace.Events),
	})
}

func (c *cli) readLog(name string) ([]tracer.Line, error) {
	if name == standardInput {
		return tracer.Read(c.In)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, InputError{Cause: err}
	}
	defer func() { _ = f.Close() }()
	return tracer.Read(f)
}

func tracedLines(lines []tracer.Line) []tracedLine {
	out := make([]tracedLine, 0, len(lines))
	for _, l := range lines {
		out = append(out, tracedLine{Time: l.Time.UTC().Format(traceTime), Node: l.Node, What: l.String()})
	}
	return out
}
