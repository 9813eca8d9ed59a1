// Package matcher holds the configuration of routes and teams, and finds the route of a request and the team of a key.
package matcher
