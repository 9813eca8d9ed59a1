// Package recorder writes one JSON line for each decision, within a bound, and never makes a request wait for it.
package recorder
