// Package measurer measures a node's memory, traffic and processor time as linear functions of one variable each, and
// makes the tables of the capacity page from the results.
package measurer
