// Package admitter decides by rank and measured queueing delay which calls a service takes, alike at every hop.
package admitter
