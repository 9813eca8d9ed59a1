// Package clock defines the project's types for time: monotonic time, wall-clock time and spans, in whole milliseconds.
package clock
