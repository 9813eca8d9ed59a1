// Package commander is the command line: one verb per file, each with an example and documented exit codes.
package commander
