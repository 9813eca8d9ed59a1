// Package gossiper maintains the fleet's membership and the liveness of its nodes by gossip, without a preconfigured
// member list.
package gossiper
