// Package throttler measures the excess load of an endpoint and the rate of calls that it answers when it is full.
package throttler
