// Package pipeliner serves callers that use HTTP/1.1 pipelining: they send further requests before the first is answered.
package pipeliner
