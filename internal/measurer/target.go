// The extrapolation from small fleets to the target size is checked against the state of one node filled to that size.
//
// Example: the sum of the memory slopes predicts 21 MB for a relay; the filled reducer takes 20 MB.

package measurer

import (
	"io"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// The target size in two years. The users' letter states it but for keys and teams, which are assumed.
const (
	targetEndpoints  = 5300
	targetServices   = 630
	targetDomains    = 11
	targetOwnMembers = targetEndpoints / targetDomains
	// Assumed.
	targetKeys  = 4000
	targetTeams = 200
)

// fillTarget returns the state of a relay with all members of the fleet, the preset and the keys.
func fillTarget() any {
	f, m := newRelay()
	f.append(presetRecord(f, targetServices, targetTeams))
	f.append(switchRecord(f))
	for i := range targetKeys {
		f.issueTeamKey(keyOf(i), teamName(i%targetTeams))
	}
	f.run(clock.Duration(targetKeys/maxRecordsPerRead+5) * clock.Second / 4)
	f.log = nil
	// Members are announced last: they don't exist and answer no probes, so after some seconds they would be declared dead.
	f.announceMembers(m, m.domain, 0, targetOwnMembers)
	for d := 1; d < targetDomains; d++ {
		f.announceMembers(m, domainName(d), d*targetOwnMembers, targetOwnMembers)
	}
	return m.state
}

// predictedMemory returns the heap that the memory slopes of small fleets predict for fillTarget.
func predictedMemory() float64 {
	sum := 0.0
	for _, part := range []struct {
		fill func(int) any
		xs   [2]int
		at   float64
	}{
		{fillOwnMembers, [2]int{60, 240}, targetOwnMembers},
		{fillRemoteMembers, [2]int{600, 2400}, targetOwnMembers * (targetDomains - 1)},
		{fillPreset, [2]int{80, 320}, targetServices},
		{fillKeys, [2]int{1000, 2000}, targetKeys},
		{fillPresetTeams, [2]int{50, 100}, targetTeams},
	} {
		low := heapUsedBy(func() any { return part.fill(part.xs[0]) })
		high := heapUsedBy(func() any { return part.fill(part.xs[1]) })
		sum += (high - low) / float64(part.xs[1]-part.xs[0]) * part.at
	}
	return sum + heapUsedBy(func() any { _, m := newRelay(); return m.state })
}

func checkTargetMemory(out io.Writer) error {
	measured := heapUsedBy(fillTarget)
	return writeCheck(out, Check{Name: "target.relayMemory", Unit: "B", Predicted: predictedMemory(), Measured: measured})
}
