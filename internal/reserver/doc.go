// Package reserver bounds the memory that all connections of a process hold together.
package reserver
