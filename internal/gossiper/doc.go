// Package gossiper keeps the membership of the fleet and the liveness of its nodes without a given list.
package gossiper
