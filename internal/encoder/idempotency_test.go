package encoder

import (
	"testing"

	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
)

func TestIdempotencyRoundTrips(t *testing.T) {
	t.Run("begin request", checkRoundTrip[deduplicator.BeginRequest])
	t.Run("begin answer", checkRoundTrip[deduplicator.BeginAnswer])
	t.Run("finish report", checkRoundTrip[deduplicator.FinishReport])
	t.Run("abandon report", checkRoundTrip[deduplicator.AbandonReport])
	t.Run("report answer", checkRoundTrip[deduplicator.ReportAnswer])
	t.Run("handover", checkRoundTrip[deduplicator.Handover])
	t.Run("handover answer", checkRoundTrip[deduplicator.HandoverAnswer])
}
