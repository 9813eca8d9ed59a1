// Package prober measures the latency that the path through the nodes adds to a call.
package prober
