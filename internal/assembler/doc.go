// Package assembler assembles the parts of a node and runs it from its start to its planned stop.
package assembler
