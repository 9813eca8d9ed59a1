// Package commander implements the command line: one verb per file, each with an example and documented exit codes.
package commander
