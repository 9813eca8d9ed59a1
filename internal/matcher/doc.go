// Package matcher holds the configuration of routes and teams, and looks up the route of a request and the team of an
// API key.
package matcher
