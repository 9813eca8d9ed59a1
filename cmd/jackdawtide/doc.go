// Command jackdawtide is the node, its stand-ins and the operators' command line.
package main
