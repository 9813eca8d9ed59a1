// Package exchanger spreads what each node reports of itself by way of one node that all of them ask.
package exchanger
