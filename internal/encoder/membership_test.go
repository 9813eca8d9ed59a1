package encoder

import (
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/gossiper"
)

func TestMembershipRoundTrips(t *testing.T) {
	t.Run("ping", checkRoundTrip[gossiper.Ping])
	t.Run("ack", checkRoundTrip[gossiper.Ack])
	t.Run("ping request", checkRoundTrip[gossiper.PingRequest])
	t.Run("indirect ack", checkRoundTrip[gossiper.IndirectAck])
	t.Run("gossip", checkRoundTrip[gossiper.Gossip])
	t.Run("digest", checkRoundTrip[gossiper.Digest])
	t.Run("summary", checkRoundTrip[gossiper.Summary])
	t.Run("members", checkRoundTrip[gossiper.Members])
	t.Run("probe", checkRoundTrip[gossiper.Probe])
	t.Run("probe answer", checkRoundTrip[gossiper.ProbeAnswer])
	t.Run("join", checkRoundTrip[gossiper.Join])
	t.Run("join answer", checkRoundTrip[gossiper.JoinAnswer])
	t.Run("subscribe", checkRoundTrip[gossiper.Subscribe])
	t.Run("subscription", checkRoundTrip[gossiper.Subscription])
	t.Run("joined", checkRoundTrip[gossiper.Joined])
	t.Run("departed", checkRoundTrip[gossiper.Departed])
}
