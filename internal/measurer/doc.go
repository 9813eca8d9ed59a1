// Package measurer measures what a node's state, messages and processor time cost, as slopes over one variable each.
package measurer
