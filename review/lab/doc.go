// Package main runs the cases of the review: real sidecar processes between stand-ins for the platform's store, endpoints and
// clients, all on loopback addresses.
package main
