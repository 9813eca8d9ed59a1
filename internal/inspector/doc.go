// Package inspector holds the server and the client of a node's admin endpoint.
package inspector
