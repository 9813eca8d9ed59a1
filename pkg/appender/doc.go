// Package appender defines the interface to the platform's append-only log and a client of its HTTP protocol.
package appender
