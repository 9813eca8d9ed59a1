// Package rationer divides the capacity of an overloaded service: between kinds of requests in the order of their
// importance, and between the teams of the kind that fits only in part.
package rationer
