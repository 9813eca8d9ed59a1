// The encoded size of messages is measured with contents of realistic length. The overhead of QUIC is measured
// separately, on real sockets.
//
// Example: the series bytes.ping grows by some 90 B for each member record that a ping carries.

package measurer

import (
	"fmt"

	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/deduplicator"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/gossiper"
	"github.com/jackdawtide/jackdawtide/internal/granter"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// encodedSize returns the size of a message or record as encoded, in bytes.
func encodedSize(v any) (float64, error) {
	raw, err := encoder.Encode(v)
	return float64(len(raw)), err
}

func exampleStatus() gossiper.Status {
	return gossiper.Status{
		Offset: 120_000, Version: 48_000, InForce: presetName, Reader: "01-9e3779b1", Stamp: 86_400_000, Age: 250,
	}
}

func members(n int) []gossiper.Member {
	list := make([]gossiper.Member, n)
	for i := range list {
		list[i] = memberOf(i, domainName(1), serviceName(i))
	}
	return list
}

func pingBytes(updates int) (float64, error) {
	return encodedSize(gossiper.Ping{Sequence: 70_000, Status: exampleStatus(), Hash: 1 << 60, Updates: members(updates)})
}

func subscriptionBytes(n int) (float64, error) {
	return encodedSize(gossiper.Subscription{Members: members(n)})
}

func joinAnswerBytes(n int) (float64, error) {
	return encodedSize(gossiper.JoinAnswer{Members: members(n)})
}

func presetRecord(f *fleet, services, teams int) configurer.PublishPreset {
	return configurer.PublishPreset{Change: f.change(), Preset: presetOf(services, teams, f.domains())}
}

func switchRecord(f *fleet) configurer.SwitchPreset {
	return configurer.SwitchPreset{Change: f.change(), Preset: presetName}
}

func presetBytes(services int) (float64, error) {
	return encodedSize(presetRecord(newFleet(4, 1, 1), services, 8))
}

func presetTeamBytes(teams int) (float64, error) {
	return encodedSize(presetRecord(newFleet(4, 1, 1), 10, teams))
}

func tailBytes(records int) (float64, error) {
	f := newFleet(1, 1, 1)
	for i := range records {
		f.issueKey(fmt.Sprintf("%064x", i))
	}
	t := configurer.Tail{From: 120_000, Next: identifier.Offset(120_000 + records), End: 120_500}
	for _, r := range f.log {
		t.Records = append(t.Records, configurer.Record{Offset: 120_000 + r.Offset, Raw: r.Data})
	}
	return encodedSize(t)
}

func askBytes(returned int) (float64, error) {
	a := granter.Ask{
		Team: teamName(1), Domain: domainName(1), Number: 70_000, Want: 4000, Demand: 40_000,
		Returned: make([]granter.Returned, returned),
	}
	for i := range a.Returned {
		a.Returned[i] = granter.Returned{Number: uint64(69_990 + i), Unspent: 1500}
	}
	return encodedSize(a)
}

func reportBytes(body int) (float64, error) {
	return encodedSize(deduplicator.FinishReport{
		Claim: "ids/17", Team: teamName(1), ID: "0192f0c1-7c1e-7d5b-9b8e-3f6a5d1c2b3a", Fingerprint: 1 << 60,
		Attempt: deduplicator.Attempt{Node: "01-9e3779b1", Number: 70_000},
		Outcome: deduplicator.Outcome{
			Status: 201, Headers: []deduplicator.Header{{Name: "Content-Type", Value: "application/json"}},
			Body: make([]byte, body),
		},
	})
}
