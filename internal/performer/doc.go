// Package performer feeds events to the reducer one at a time and carries out its effects.
package performer
