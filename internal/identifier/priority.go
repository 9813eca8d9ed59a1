// Priority classes are few and ordered, so that every hop makes the same decision about a call.
//
// Example: under overload a Normal call is shed before an Urgent one, at every hop.

package identifier

import "fmt"

// Priority is the class of a call; a lower number is more important.
type Priority uint8

// The classes, most important first.
const (
	Urgent Priority = iota
	High
	Normal
	Low
)

// Priorities lists the classes, most important first.
var Priorities = []Priority{Urgent, High, Normal, Low}

var priorityNames = [...]string{"urgent", "high", "normal", "low"}

// String returns the name of the class as presets write it.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return fmt.Sprintf("priority(%d)", uint8(p))
}

// PriorityError reports a name that is no priority class.
type PriorityError struct {
	Name string
}

// Error names the unknown class and the known ones.
func (e PriorityError) Error() string {
	return fmt.Sprintf("unknown priority %q: want urgent, high, normal or low", e.Name)
}

// ParsePriority returns the class with the given name.
func ParsePriority(name string) (Priority, error) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), nil
		}
	}
	return Low, PriorityError{Name: name}
}
