// Package publisher appends operators' changes to the platform's log and reads their outcome from it.
package publisher
