// Package receiver takes calls over HTTP, from callers with their key and from backend servers with a token.
package receiver
