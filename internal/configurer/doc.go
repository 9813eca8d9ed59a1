// Package configurer applies the log's records in order to get the configuration in force, and relays the newest records
// (the log's tail) between nodes.
package configurer
