// Package certifier makes a test CA and certificates, and loads the mutual TLS that nodes and operators speak.
package certifier
