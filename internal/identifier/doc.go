// Package identifier names the ids and units that pass between the other packages, each as its own type.
package identifier
