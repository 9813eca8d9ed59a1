// Package prober measures what the path through the nodes adds to a call.
package prober
