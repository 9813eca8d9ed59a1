// The generated tables are placed between marks in docs/CAPACITY.md; everything outside of the marks is written by hand.
//
// Example: between "<!-- table: slopes -->" and "<!-- end -->" is the table of all fits.

package measurer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	tableMark = "<!-- table: "
	markEnd   = " -->\n"
	endMark   = "<!-- end -->"
)

// PageError reports a page with an unknown or unterminated table mark.
type PageError struct {
	Problem string
}

// Error returns the problem.
func (e PageError) Error() string {
	return "capacity page: " + e.Problem
}

// Page returns the page with its tables regenerated from the results.
func Page(page string, r Results) (string, error) {
	if err := r.checkComplete(); err != nil {
		return "", err
	}
	tables := map[string]func(Results) string{
		"slopes": slopeTable, "budget": budgetTable, "sums": sumTable, "checks": checkTable, "points": pointTable,
		"appends": appendTable,
	}
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(page, tableMark)
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, rest, named := strings.Cut(rest, markEnd)
		_, after, ended := strings.Cut(rest, endMark)
		table := tables[name]
		if !named || !ended || table == nil {
			return "", PageError{Problem: fmt.Sprintf("table %q is unknown or has no end", name)}
		}
		out.WriteString(tableMark + name + markEnd + table(r) + endMark)
		page = after
	}
}

// checkComplete returns a MissingError if the results lack a series that the formulas use.
func (r Results) checkComplete() error {
	for _, s := range requiredSeries {
		if _, ok := r.Fits[s]; !ok {
			return MissingError{Series: s}
		}
	}
	return nil
}

// requiredSeries are the series that the formulas use.
var requiredSeries = []string{
	"memory.ownMembers", "memory.remoteMembers", "memory.followed", "memory.services", "memory.purses",
	"memory.keys", "memory.banks", "memory.ids", "memory.links", "wire.message", "cpu.message", "wire.links",
	"wire.dials", "cpu.dials", "cpu.domains", "cpu.nodes", "traffic.domains.messages", "traffic.domains.bytes",
	"traffic.domains.busiest", "traffic.domains.busiestMessages", "traffic.nodes.busiest",
	"traffic.changes.messages", "traffic.changes.bytes", "traffic.churn.messages", "traffic.churn.bytes",
	"traffic.teams.messages", "traffic.teams.bytes", "traffic.bookings.messages", "traffic.bookings.bytes",
	"traffic.holders.busiest", "traffic.holders.busiestMessages",
}

func slopeTable(r Results) string {
	var b strings.Builder
	b.WriteString("| series | variable | range, points | slope | at 0 | R² |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(r.Fits)) {
		f := r.Fits[name]
		fmt.Fprintf(&b, "| %s | %s | %s to %s, %d | %s ± %s %s | %s | %.2f |\n", name, f.Variable,
			formatNumber(f.From), formatNumber(f.To), f.Count, formatNumber(f.Slope), formatNumber(f.SlopeError), f.Unit,
			formatNumber(f.Intercept), f.RSquared)
	}
	return b.String()
}

func budgetTable(r Results) string {
	var b strings.Builder
	b.WriteString("| role | mechanism | formula | Concordia | Kitakaze | target: state | messages/s | KB/s | core |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, line := range rows {
		costs := make([]usage, len(deployments))
		for i, d := range deployments {
			costs[i] = line.cost(model{d, r})
		}
		target := costs[len(costs)-1]
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", line.role, line.mechanism, line.formula,
			todayCell(costs[0]), todayCell(costs[1]), formatMegabytes(target.state), formatNumber(target.messages),
			formatNumber(target.bytes/1e3), formatPercent(target.core))
	}
	return b.String()
}

// todayCell formats a cost at today's fleet sizes for one cell.
func todayCell(u usage) string {
	if u.state > 0 && u.bytes == 0 {
		return formatMegabytes(u.state)
	}
	return fmt.Sprintf("%s KB/s, %s", formatNumber(u.bytes/1e3), formatPercent(u.core))
}

// sumTable returns the total cost of one node in each role, and its ratio to the budget.
func sumTable(r Results) string {
	var b strings.Builder
	b.WriteString("| deployment | role | memory | of 64 MB | KB/s | of 24 KB/s | core | of 1.1% |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, d := range deployments {
		for _, role := range []string{everyNode, relayNode, bankHolder, idOwner} {
			u := sumOf(model{d, r}, role)
			memory := u.state * memoryPerHeap
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", d.name, role, formatMegabytes(memory),
				formatMultiple(memory/budgetMemoryBytes), formatNumber(u.bytes/1e3), formatMultiple(u.bytes/budgetBytesPerSecond), formatPercent(u.core),
				formatMultiple(u.core/budgetCoreRatio))
		}
	}
	return b.String()
}

func sumOf(m model, role string) usage {
	var sum usage
	for _, line := range rows {
		if line.role == everyNode || line.role == role {
			sum = sum.plus(line.cost(m))
		}
	}
	return sum
}

func checkTable(r Results) string {
	var b strings.Builder
	b.WriteString("| check | foretold by the slopes | measured |\n| --- | --- | --- |\n")
	for _, c := range r.Checks {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", c.Name, formatMegabytes(c.Predicted), formatMegabytes(c.Measured))
	}
	return b.String()
}

// pointTable returns the single measurements of series for which a fitted line alone would be misleading.
func pointTable(r Results) string {
	var b strings.Builder
	b.WriteString("| series | measurements |\n| --- | --- |\n")
	for _, name := range []string{
		"burst.time", "burst.bytes", "storm.time", "storm.bytes", "storm.appends", "latency.p50", "latency.p99",
		"cpu.chain", "traffic.calls.messages", "traffic.holders.busiestMessages", "traffic.nodes.busiest",
	} {
		var cells []string
		for _, p := range r.Points[name] {
			cells = append(cells, fmt.Sprintf("%s: %s", formatNumber(p.X), formatNumber(p.Y)))
		}
		f := r.Fits[name]
		fmt.Fprintf(&b, "| %s (%s, by %s) | %s |\n", name, f.Unit, f.Variable, strings.Join(cells, "; "))
	}
	return b.String()
}

// appendTable returns the number of records that a fleet appends to the log, by cause.
func appendTable(Results) string {
	var b strings.Builder
	b.WriteString("| cause | formula | Concordia, a day | Kitakaze, a day | target, a day | target, a second |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	sums := make([]float64, len(deployments))
	line := func(cause, formula string, values []float64) {
		fmt.Fprintf(&b, "| %s | %s |", cause, formula)
		for _, v := range values {
			fmt.Fprintf(&b, " %s |", formatNumber(v))
		}
		fmt.Fprintf(&b, " %s |\n", formatNumber(values[len(values)-1]/secondsPerDay))
	}
	for _, c := range appendCauses {
		values := make([]float64, len(deployments))
		for i, d := range deployments {
			values[i] = c.daily(d)
			sums[i] += values[i]
		}
		line(c.cause, c.formula, values)
	}
	line("sum", "", sums)
	return b.String()
}

// negligible is the bound below which a table shows 0.
const negligible = 0.0005

// formatNumber formats with three significant digits and no exponent.
func formatNumber(v float64) string {
	if math.Abs(v) < negligible {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits <= 0 {
		scale := math.Pow(10, float64(-digits))
		return fmt.Sprintf("%.0f", math.Round(v/scale)*scale)
	}
	return fmt.Sprintf("%.*f", digits, v)
}

func formatMegabytes(v float64) string {
	if v == 0 {
		return "0"
	}
	return formatNumber(v/1e6) + " MB"
}

func formatPercent(v float64) string {
	return formatNumber(v*100) + "%"
}

func formatMultiple(v float64) string {
	return formatNumber(v) + " ×"
}
