// Package exchanger distributes the nodes' load and state reports through one collector node per failure domain.
package exchanger
