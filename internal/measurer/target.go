// The extrapolation from small fleets to the target is checked by one node's state filled to the target's size.
//
// Example: the sum of the memory slopes foretells 21 MB for a relay; the filled reducer takes 20 MB.

package measurer

import (
	"io"

	"github.com/jackdawtide/jackdawtide/internal/clock"
)

// The target in two years, from the users' letter, and what it leaves open, assumed here.
const (
	targetEndpoints = 5300
	targetServices  = 630
	targetDomains   = 11
	targetOwn       = targetEndpoints / targetDomains
	// assumed
	targetKeys  = 4000
	targetTeams = 200
)

// fillTarget is a relay's reducer with all members of the fleet, the preset and the keys.
func fillTarget() any {
	f, m := alone()
	f.append(presetRecord(f, targetServices, targetTeams))
	f.append(switchRecord(f))
	for i := range targetKeys {
		f.issueTeamKey(keyOf(i), teamName(i%targetTeams))
	}
	f.run(clock.Duration(targetKeys/logRead+5) * clock.Second / 4)
	f.log = nil
	// Members come last: nobody answers for them, so that after some seconds they would count as dead.
	f.tellMembers(m, m.domain, 0, targetOwn)
	for d := 1; d < targetDomains; d++ {
		f.tellMembers(m, domainName(d), d*targetOwn, targetOwn)
	}
	return m.state
}

// foretold is the same by the slopes.
func foretold() float64 {
	sum := 0.0
	for _, part := range []struct {
		fill func(int) any
		xs   [2]int
		at   float64
	}{
		{fillOwnMembers, [2]int{60, 240}, targetOwn},
		{fillRemoteMembers, [2]int{600, 2400}, targetOwn * (targetDomains - 1)},
		{fillPreset, [2]int{80, 320}, targetServices},
		{fillKeys, [2]int{1000, 2000}, targetKeys},
		{fillPresetTeams, [2]int{50, 100}, targetTeams},
	} {
		low := heapOf(func() any { return part.fill(part.xs[0]) })
		high := heapOf(func() any { return part.fill(part.xs[1]) })
		sum += (high - low) / float64(part.xs[1]-part.xs[0]) * part.at
	}
	return sum + heapOf(func() any { _, m := alone(); return m.state })
}

func checkTarget(out io.Writer) error {
	measured := heapOf(fillTarget)
	return writeCheck(out, Check{Name: "target.relayMemory", Unit: "B", Foretold: foretold(), Measured: measured})
}
