// Package announcer lets a backend server written in Go announce itself to the node on its VM.
//
// The interface that it speaks is described in docs/BACKENDS.md; any HTTP client can speak it as well.
package announcer
