package checker

// Each kind of value in a file is read in one place, so that the same mistake gets the same message in settings and in
// presets.
//
// Example: t.Duration("idleTimeout", clock.Second, clock.Hour) accepts "90s" and refuses 90, "90" and "2h".

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

const (
	required    = "required but missing"
	wantAddress = `want an IP number and a port, such as "10.1.0.5:8080"`
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Text returns a non-empty string; the field is required.
func (t *Table) Text(key string) string {
	v, given := t.lookUp(key)
	if !given {
		t.Fault(key, required)
		return ""
	}
	s, ok := v.(string)
	if !ok || s == "" {
		t.Fault(key, "want a text in quotes")
		return ""
	}
	return s
}

// Quantity returns a string that holds a number with its unit; want is the fault's message, which describes the form.
func (t *Table) Quantity(key, want string) string {
	v, given := t.lookUp(key)
	if !given {
		t.Fault(key, required)
		return ""
	}
	s, ok := v.(string)
	if !ok || s == "" {
		t.Fault(key, want)
		return ""
	}
	return s
}

// Name returns a string that is valid in a path and in a record; the field is required.
func (t *Table) Name(key string) string {
	s := t.Text(key)
	if s != "" && !namePattern.MatchString(s) {
		t.Fault(key, "want 1 to 63 letters, digits, dots, dashes or underscores, a letter or digit first")
		return ""
	}
	return s
}

// Texts returns a list of strings, empty if the field is missing.
func (t *Table) Texts(key string) []string {
	v, given := t.lookUp(key)
	if !given {
		return nil
	}
	elements, ok := v.([]any)
	texts := make([]string, 0, len(elements))
	for _, e := range elements {
		s, isText := e.(string)
		ok = ok && isText
		texts = append(texts, s)
	}
	if !ok {
		t.Fault(key, "want a list of texts")
		return nil
	}
	return texts
}

// Bool returns a boolean, or the default if the field is missing.
func (t *Table) Bool(key string, value bool) bool {
	v, given := t.lookUp(key)
	if !given {
		return value
	}
	b, ok := v.(bool)
	if !ok {
		t.Fault(key, "want true or false")
	}
	return b
}

// Integer returns an integer within bounds, or 0 if it is invalid; the field is required.
func (t *Table) Integer(key string, low, high int64) int64 {
	v, given := t.lookUp(key)
	if !given {
		t.Fault(key, required)
		return 0
	}
	n, ok := v.(int64)
	if !ok {
		t.Fault(key, "want a whole number without a unit")
		return 0
	}
	if n < low || n > high {
		t.Faultf(key, "want %d to %d", low, high)
		return 0
	}
	return n
}

// IntegerOr returns an integer within bounds, or the default if the field is missing.
func (t *Table) IntegerOr(key string, value, low, high int64) int64 {
	if !t.Has(key) {
		return value
	}
	return t.Integer(key, low, high)
}

// Duration returns a duration within bounds; the field is required.
func (t *Table) Duration(key string, low, high clock.Duration) clock.Duration {
	v, given := t.lookUp(key)
	if !given {
		t.Fault(key, required)
		return low
	}
	s, ok := v.(string)
	d, err := time.ParseDuration(s)
	if !ok || err != nil {
		t.Fault(key, `want a duration with its unit, such as "250ms", "2s" or "10m"`)
		return low
	}
	if d%time.Millisecond != 0 {
		t.Fault(key, "want whole milliseconds")
		return low
	}
	if m := clock.FromStd(d); m < low || m > high {
		t.Faultf(key, "want %s to %s", FormatDuration(low), FormatDuration(high))
		return low
	}
	return clock.FromStd(d)
}

// DurationOr returns a duration within bounds, or the default if the field is missing.
func (t *Table) DurationOr(key string, value, low, high clock.Duration) clock.Duration {
	if !t.Has(key) {
		return value
	}
	return t.Duration(key, low, high)
}

// Size returns a number of bytes within bounds; the field is required.
func (t *Table) Size(key string, low, high int64) int64 {
	v, given := t.lookUp(key)
	if !given {
		t.Fault(key, required)
		return low
	}
	s, ok := v.(string)
	n, err := parseSize(s)
	if !ok || err != nil {
		t.Fault(key, `want a size with its unit, such as "512B", "64KiB" or "200MiB"`)
		return low
	}
	if n < low || n > high {
		t.Faultf(key, "want %s to %s", FormatSize(low), FormatSize(high))
		return low
	}
	return n
}

// SizeOr returns a number of bytes within bounds, or the default if the field is missing.
func (t *Table) SizeOr(key string, value, low, high int64) int64 {
	if !t.Has(key) {
		return value
	}
	return t.Size(key, low, high)
}

// Address returns an IP address with a port; the field is required.
func (t *Table) Address(key string) netip.AddrPort {
	s := t.Text(key)
	if s == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		t.Fault(key, wantAddress)
		return netip.AddrPort{}
	}
	return a
}

// Addresses returns a list of addresses, empty if the field is missing.
func (t *Table) Addresses(key string) []netip.AddrPort {
	texts := t.Texts(key)
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, s := range texts {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			t.Faultf(key, "%q: %s", s, wantAddress)
			continue
		}
		addresses = append(addresses, a)
	}
	return addresses
}

// Largest values that the readers of settings and presets accept.
const (
	MaxSize     int64          = 1 << 40
	MaxDuration clock.Duration = 24 * clock.Hour
)

type unit struct {
	suffix string
	factor int64
}

// sizeUnits are in the order of matching: "KiB" must be tried before "B".
var sizeUnits = []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

func parseSize(s string) (int64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > MaxSize/u.factor {
			return 0, fmt.Errorf("size %q: out of range", s)
		}
		return n * u.factor, nil
	}
	return 0, fmt.Errorf("size %q: no unit", s)
}

// FormatSize returns a size in the form that Size reads.
func FormatSize(n int64) string {
	for _, u := range sizeUnits {
		if n%u.factor == 0 && n >= u.factor {
			return strconv.FormatInt(n/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

var durationUnits = []struct {
	suffix string
	span   clock.Duration
}{{"h", clock.Hour}, {"m", clock.Minute}, {"s", clock.Second}, {"ms", clock.Millisecond}}

// FormatDuration returns a duration in the form that Duration reads.
func FormatDuration(d clock.Duration) string {
	for _, u := range durationUnits {
		if d%u.span == 0 && d >= u.span {
			return strconv.FormatInt(int64(d/u.span), 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(d), 10) + "ms"
}

// NumberOr returns a number within bounds, with or without decimals, or the default if the field is missing.
func (t *Table) NumberOr(key string, value, low, high float64) float64 {
	v, given := t.lookUp(key)
	if !given {
		return value
	}
	var n float64
	switch v := v.(type) {
	case int64:
		n = float64(v)
	case float64:
		n = v
	default:
		t.Fault(key, "want a number")
		return value
	}
	if n < low || n > high {
		t.Faultf(key, "want %g to %g", low, high)
		return value
	}
	return n
}
