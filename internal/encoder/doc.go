// Package encoder encodes the messages between nodes and the records on the platform's log, and decodes them.
package encoder
