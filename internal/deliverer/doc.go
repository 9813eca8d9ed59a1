// Package deliverer sends calls to the backend servers of this VM and accepts their announcements.
package deliverer
