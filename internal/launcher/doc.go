// Package launcher runs a small fleet of real nodes, backend server stand-ins and the log stand-in in one process.
package launcher
