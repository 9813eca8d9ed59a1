// Package conductor is the reducer of a node beside an endpoint: events in, effects out, and no clock, socket or lock.
package conductor
