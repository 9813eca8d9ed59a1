// Package registrar keeps what the local endpoint says of itself, and ignores what is late, forged or out of date.
package registrar
