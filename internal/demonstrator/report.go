// The report is what the demo prints: the outcomes by team, by class and by class under overload, and the promises.

package demonstrator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/jackdawtide/jackdawtide/internal/launcher"
)

// Report is the result of a demo.
type Report struct {
	Deployment     string    `json:"deployment"`
	Nodes          int       `json:"nodes"`
	FailureDomains int       `json:"failureDomains"`
	Seconds        float64   `json:"seconds"`
	Teams          []Row     `json:"teams"`
	Classes        []Row     `json:"classes"`
	UnderOverload  []Row     `json:"underOverload"`
	Promises       []Promise `json:"promises"`
	Held           bool      `json:"held"`
}

// Row counts the outcomes of one group of requests.
type Row struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// Refused counts the refusals by reason, and NotRun those that say "not run".
	Refused map[string]int `json:"refused"`
	NotRun  int            `json:"notRun"`
	// Failed counts requests with neither an answer nor a refusal.
	Failed int `json:"failed"`
}

func newReport(plan launcher.Plan, a audit) Report {
	r := Report{
		Deployment:     plan.Deployment,
		FailureDomains: len(plan.Domains),
		Seconds:        a.duration.Seconds(),
		Promises:       judgeAll(&a),
		Held:           true,
	}
	for _, s := range plan.Services {
		r.Nodes += s.Endpoints
	}
	for _, p := range r.Promises {
		r.Held = r.Held && p.Held
	}
	byClass := func(o outcome) string { return fmt.Sprintf("%d %s", o.class, o.class) }
	r.Teams = rows(a.outcomes, func(o outcome) string { return string(o.team) })
	r.Classes = rows(a.outcomes, byClass)
	during := slices.DeleteFunc(slices.Clone(a.outcomes), func(o outcome) bool { return o.phase != overload })
	r.UnderOverload = rows(during, byClass)
	return r
}

// rows groups outcomes by name; leading digits of a name only set the order of the groups.
func rows(outcomes []outcome, name func(outcome) string) []Row {
	groups := make(map[string]*Row)
	for _, o := range outcomes {
		n := name(o)
		if groups[n] == nil {
			groups[n] = &Row{Name: strings.TrimLeft(n, "0123456789 "), Refused: make(map[string]int)}
		}
		groups[n].add(o)
	}
	var list []Row
	for _, n := range slices.Sorted(maps.Keys(groups)) {
		list = append(list, *groups[n])
	}
	return list
}

func (r *Row) add(o outcome) {
	r.Sent++
	switch {
	case o.answered():
		r.Answered++
	case o.refused():
		r.Refused[o.reason]++
		if o.notRun {
			r.NotRun++
		}
	default:
		r.Failed++
	}
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, scaled down: %d nodes with a backend server each, %d failure domains, %.0f s of traffic\n",
		r.Deployment, r.Nodes, r.FailureDomains, r.Seconds)
	writeTable(&b, "team", r.Teams)
	writeTable(&b, "class", r.Classes)
	writeTable(&b, "under overload", r.UnderOverload)
	b.WriteString("\n")
	for _, p := range r.Promises {
		verdict := "held"
		if !p.Held {
			verdict = "BROKEN"
		}
		fmt.Fprintf(&b, "%-7s %s\n        %s\n", verdict, p.Text, strings.TrimSpace(p.Evidence))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeTable(b *strings.Builder, title string, list []Row) {
	total := make(map[string]int)
	for _, r := range list {
		for reason, n := range r.Refused {
			total[reason] += n
		}
	}
	reasons := slices.SortedFunc(maps.Keys(total), func(x, y string) int {
		return cmp.Or(total[y]-total[x], strings.Compare(x, y))
	})
	b.WriteString("\n")
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := slices.Concat([]string{title, "sent", "answered"}, reasons, []string{"not run", "failed"})
	fmt.Fprintln(w, strings.Join(head, "\t")+"\t")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t", r.Name, r.Sent, r.Answered)
		for _, reason := range reasons {
			fmt.Fprintf(w, "%d\t", r.Refused[reason])
		}
		fmt.Fprintf(w, "%d\t%d\t\n", r.NotRun, r.Failed)
	}
	_ = w.Flush()
}

// BrokenError reports promises that did not hold.
type BrokenError struct{ Names []string }

// Error names the promises.
func (e BrokenError) Error() string { return "promises broken: " + strings.Join(e.Names, ", ") }

// Err returns an error unless all promises held.
func (r Report) Err() error {
	var broken []string
	for _, p := range r.Promises {
		if !p.Held {
			broken = append(broken, p.Name)
		}
	}
	if len(broken) == 0 {
		return nil
	}
	return BrokenError{Names: broken}
}
