// Package reducer composes the matters into the one pure state machine of a node: events in, effects out.
package reducer
