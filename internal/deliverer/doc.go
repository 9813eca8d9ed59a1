// Package deliverer hands calls to the backend servers of this VM, and takes their announcements.
package deliverer
