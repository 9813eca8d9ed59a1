// Package limiter decides, for one local backend server, which calls run now, wait, or are shed.
package limiter
