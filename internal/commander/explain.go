package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// `explain` prints each field of the node's JSON answer on a line of its own, in the order of the answer. It knows no
// field by name, so that the explanation of a newer node is printed in full.

type explanation struct {
	json.RawMessage
}

func (r explanation) writeText(w io.Writer) error {
	d := json.NewDecoder(bytes.NewReader(r.RawMessage))
	d.UseNumber()
	return writeFields(w, d, "")
}

// writeFields writes the next JSON value of the decoder, with each scalar in it on a line of its own.
func writeFields(w io.Writer, d *json.Decoder, path string) error {
	token, err := d.Token()
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	opening, ok := token.(json.Delim)
	if !ok {
		_, err := fmt.Fprintf(w, "%s: %v\n", strings.TrimPrefix(path, "."), token)
		return err
	}
	for i := 1; d.More(); i++ {
		inner := fmt.Sprintf("%s[%d]", path, i)
		if opening == '{' {
			name, err := d.Token()
			if err != nil {
				return fmt.Errorf("print: %w", err)
			}
			inner = fmt.Sprintf("%s.%v", path, name)
		}
		if err := writeFields(w, d, inner); err != nil {
			return err
		}
	}
	// The closing delimiter.
	_, err = d.Token()
	return err
}

// explanations are those of several nodes: each node that a call passes through knows only its own decisions.
type explanations []nodeExplanation

type nodeExplanation struct {
	Admin       string          `json:"admin"`
	Explanation json.RawMessage `json:"explanation"`
}

func (r explanations) writeText(w io.Writer) error {
	for i, e := range r {
		if i > 0 {
			if _, err := fmt.Fprintln(w); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "admin: %s\n", e.Admin); err != nil {
			return err
		}
		if err := (explanation{e.Explanation}).writeText(w); err != nil {
			return err
		}
	}
	return nil
}

// errNoSource reports that the command line names neither a node nor a log file.
var errNoSource = errors.New("required flag --admin or --log not provided")

func addExplain(c *cli) {
	var request string
	clause := c.add(c.app, "explain", "Explain why a request got its answer: which node decided, by which rule and version.",
		"jackdawtide explain --admin http://127.0.0.1:8082 01990c2e-5b1e-7c3a-9f00-2d1f6a7be001\n"+
			"jackdawtide explain --log node-1.log --log node-2.log 9c41d07be2a35f68", nil)
	flags := bindAdmin(clause)
	addresses := clause.Flag("admin", "URL of a node's admin endpoint; may be repeated to follow nested calls.").
		Envar(adminVariable).PlaceHolder("URL").Strings()
	logs := clause.Flag("log", "File with collected logs of nodes, - for standard input; may be repeated.").
		PlaceHolder("FILE").Strings()
	clause.Arg("request", "The requestId of the request's answer.").Required().StringVar(&request)
	c.runs[clause.FullCommand()] = func(ctx context.Context) error {
		if len(*logs) > 0 {
			return c.explainLogs(*logs, request)
		}
		if len(*addresses) == 0 {
			return UsageError{Cause: errNoSource}
		}
		found, err := c.collectExplanations(ctx, *addresses, flags, request)
		if err != nil {
			return err
		}
		if len(*addresses) == 1 {
			return c.print(explanation{found[0].Explanation})
		}
		return c.print(found)
	}
}

// collectExplanations requests the explanation from every node, and fails only if none of them returns one.
func (c *cli) collectExplanations(ctx context.Context, addresses []string, f *adminFlags, request string) (explanations, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	var found explanations
	var lastErr error
	for _, a := range addresses {
		client, err := c.adminClient(a, f)
		if err != nil {
			return nil, err
		}
		data, err := client.Explain(ctx, request)
		if err != nil {
			lastErr = err
			continue
		}
		found = append(found, nodeExplanation{Admin: a, Explanation: data})
	}
	if len(found) == 0 {
		return nil, lastErr
	}
	return found, nil
}
