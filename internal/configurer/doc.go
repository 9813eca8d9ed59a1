// Package configurer folds the log's order into the configuration in force and passes the log's tail on between nodes.
package configurer
