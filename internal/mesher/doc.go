// Package mesher puts a node beside an endpoint together, from its start to its planned stop.
package mesher
