// Package inspector holds what a node's admin endpoint tells, and asks for it.
package inspector
