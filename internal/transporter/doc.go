// Package transporter carries calls and control messages between nodes over QUIC with mutual TLS.
package transporter
