package checker

// An operator who gets one fault at a time needs many rounds to correct a file during an incident, and a file that is
// applied in part leaves the system in a state that no file describes. So all faults are collected, and a single one
// refuses the file.
//
// Example: limits.idleTimeout = 30: want a duration with its unit, such as "2s"

import (
	"fmt"
	"strings"
)

// Fault is one fault in a file.
type Fault struct {
	Field string
	// Value is the value as written in the file; empty if the field is missing.
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

// Faults is the list of all faults in a file.
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
