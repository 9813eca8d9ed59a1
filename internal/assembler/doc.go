// Package assembler puts the parts of a node together and runs it from its start to its planned stop.
package assembler
