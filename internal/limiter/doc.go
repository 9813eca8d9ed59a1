// Package limiter decides which calls to one local backend server run now, are queued, or are shed.
package limiter
