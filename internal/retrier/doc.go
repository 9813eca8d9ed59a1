// Package retrier bounds the retries of a whole call chain and stops them in overload.
package retrier
