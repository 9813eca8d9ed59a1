package checker

// An operator who is told one fault at a time mends a file in ten rounds during an incident, and a file that is
// taken in part leaves the system in a state that nobody wrote. So faults are collected, and any one refuses all.
//
// Example: limits.idleTimeout = 30: want a duration with its unit, such as "2s"

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong in a file.
type Fault struct {
	Field string
	// Value is the value as the file writes it; empty where the field is missing.
	Value   string
	Problem string
}

// Error names the field, the value and the problem in one line.
func (f Fault) Error() string {
	if f.Value == "" {
		return fmt.Sprintf("%s: %s", f.Field, f.Problem)
	}
	return fmt.Sprintf("%s = %s: %s", f.Field, f.Value, f.Problem)
}

// Faults are all the things wrong in a file.
type Faults []Fault

// Error names each fault on a line of its own.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults, in the order in which they were found, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
