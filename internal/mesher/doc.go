// Package mesher assembles the node beside an endpoint and runs it from its start to its planned stop.
package mesher
