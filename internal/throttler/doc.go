// Package throttler turns the queueing of a service into the part of each class of root requests that is refused.
package throttler
