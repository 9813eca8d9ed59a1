// Package publisher appends operators' changes to the platform's log and finds out what became of them.
package publisher
