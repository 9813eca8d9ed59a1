// Package tracer finds the cause of a failed request in the collected logs of many nodes.
package tracer
