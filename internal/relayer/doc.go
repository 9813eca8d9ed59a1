// Package relayer forwards requests between callers, nodes and the local endpoint, as the conductor decides.
package relayer
