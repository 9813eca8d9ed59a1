// Package retrier bounds the retries of a whole call chain and turns them off in overload.
package retrier
