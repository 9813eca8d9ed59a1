// Package demonstrator runs a small fleet through changes, a planned stop and an overload, and checks the promises to
// callers from what callers and backend servers recorded.
package demonstrator
