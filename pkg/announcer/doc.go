// Package announcer lets a backend server written in Go announce itself to the node on its VM.
//
// The HTTP interface that it uses is described in docs/BACKENDS.md; any HTTP client can use it directly.
package announcer
