// Package conductor implements the decisions of a node beside an endpoint as a reducer: events in, effects out, with no
// clock, socket or lock.
package conductor
