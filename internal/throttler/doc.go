// Package throttler computes the fraction of each class of root requests to refuse from the excess load of the services
// that they call.
package throttler
