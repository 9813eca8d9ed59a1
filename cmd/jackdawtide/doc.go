// Command jackdawtide runs the node, stand-ins for tests, and the operators' command line.
package main
