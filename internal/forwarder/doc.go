// Package forwarder carries one attempt of a call to the node of an endpoint, on this node or another one.
package forwarder
