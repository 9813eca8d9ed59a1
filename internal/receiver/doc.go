// Package receiver accepts calls over HTTP: from callers, who present a team's key, and from backend servers, which
// present a call token.
package receiver
