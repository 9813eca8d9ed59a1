// Package forwarder carries one attempt of a call to the node of an endpoint, be it this node or another.
package forwarder
