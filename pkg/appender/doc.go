// Package appender is the narrow interface of the platform's append-only log, with a client for its HTTP form.
package appender
