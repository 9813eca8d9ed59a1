// Package pipeliner serves callers that send further requests on a connection before the first is answered.
package pipeliner
