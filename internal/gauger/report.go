// An endpoint may report its load in each answer. Only the node beside it reads the report. A report that can't be read
// must not count as zero: an endpoint with zero calls running would look idle and attract more of them.
//
// Example: 88,14,88,180 is 88 calls running, 14 waiting, 88 slots, and work that takes 1.8 times as long as usual.

package gauger

import (
	"fmt"
	"strconv"
	"strings"
)

// Calls is a number of calls at an endpoint.
type Calls int

// Slots is the number of calls that an endpoint works on at a time.
type Slots int

// Pace is how long work takes at an endpoint in per cent of the usual time; 0 means that the endpoint does not tell it.
type Pace int

// UsualPace is the pace at which work takes as long as usual.
const UsualPace Pace = 100

// Report is one load report of an endpoint.
type Report struct {
	Running, Waiting Calls
	Slots            Slots
	Pace             Pace
}

// ReportError reports the figure of a load report that is not valid.
type ReportError struct {
	Field    string
	Value    string
	Expected string
}

// Error names the figure, its value and the expected one.
func (e ReportError) Error() string {
	return fmt.Sprintf("load report: %s is %q, expected %s", e.Field, e.Value, e.Expected)
}

const (
	// minFigures are the running and waiting calls and the slots; the pace is the last of maxFigures.
	minFigures = 3
	maxFigures = 4
	// figureLimit is the smallest figure that is not valid; it is far above the slots of any VM.
	figureLimit = 1_000_000
)

// figures are the names and smallest valid values of the figures in their order.
var figures = [maxFigures]struct {
	name  string
	least int
}{{"running", 0}, {"waiting", 0}, {"slots", 1}, {"pace", 1}}

// Decode returns the report in the text of a header field; spaces around a figure are allowed.
func Decode(text string) (Report, error) {
	count := strings.Count(text, ",") + 1
	if count < minFigures || count > maxFigures {
		return Report{}, ReportError{
			Field: "number of figures", Value: strconv.Itoa(count),
			Expected: fmt.Sprintf("%d or %d", minFigures, maxFigures),
		}
	}
	var numbers [maxFigures]int
	rest := text
	for i := range count {
		var part string
		part, rest, _ = strings.Cut(rest, ",")
		part = strings.Trim(part, " \t")
		n, ok := parseFigure(part)
		if !ok || n < figures[i].least {
			return Report{}, ReportError{
				Field: figures[i].name, Value: part,
				Expected: fmt.Sprintf("a whole number from %d to %d", figures[i].least, figureLimit-1),
			}
		}
		numbers[i] = n
	}
	return Report{
		Running: Calls(numbers[0]), Waiting: Calls(numbers[1]), Slots: Slots(numbers[2]), Pace: Pace(numbers[3]),
	}, nil
}

// ParsePace returns the pace in a text of digits; it must be a valid figure of a report.
func ParsePace(text string) (Pace, bool) {
	n, ok := parseFigure(text)
	return Pace(n), ok && n > 0
}

// parseFigure reads digits only. strconv accepts signs as well, and a report with a sign was not written by an endpoint
// that follows the format.
func parseFigure(text string) (int, bool) {
	if text == "" {
		return 0, false
	}
	n := 0
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return 0, false
		}
		n = 10*n + int(text[i]-'0')
		if n >= figureLimit {
			return 0, false
		}
	}
	return n, true
}
