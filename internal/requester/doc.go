// Package requester sends single HTTP/1.1 requests over pooled connections and reuses a connection only
// after a complete exchange.
package requester
