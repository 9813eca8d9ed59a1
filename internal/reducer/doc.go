// Package reducer composes the decision packages of a node into one deterministic state machine that takes events and
// returns effects.
package reducer
