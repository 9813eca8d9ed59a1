// Package recorder writes rate-limited JSON log lines and metrics of a node's decisions without blocking requests.
package recorder
