// Package logkeeper is a stand-in for the platform's log, for tests and the demo only: it keeps records in memory.
package logkeeper
