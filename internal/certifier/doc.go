// Package certifier creates a CA, issues certificates, and provides the mutual TLS configurations of nodes and operators.
package certifier
