// Package identifier defines the ids and units that the other packages exchange, each as a type of its own.
package identifier
