// Package responder is a stand-in for a backend server, for tests, the demo and measurements only.
package responder
