// Command lab2 plays the scripted cases of the second review: it starts sidecars as separate processes on loopback addresses, with
// stand-ins for the platform's store, the endpoints and the callers, and judges a rule by what callers and endpoints saw.
package main
