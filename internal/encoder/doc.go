// Package encoder maps messages between nodes, and records on the platform's log, to bytes and back.
package encoder
