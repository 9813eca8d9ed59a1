// A scenario is a load, a fault and a length. The lengths are as short as the fault allows: a takeover takes some
// eleven seconds, for the promise term and the wait until slices that the previous holder granted have expired.
//
// Example: {name: "domainCut", chooseNode: anyNode, length: 9 s, fault: domainCut}.

package faulter

import (
	"context"
	"time"
)

type scenario struct {
	name       string
	teams      []teamPlan
	chooseNode nodeChoice
	length     time.Duration
	fault      func(ctx context.Context, r *run) error
}

var scenarios = []scenario{
	{name: "healthyOneNode", chooseNode: oneNode, length: 7 * time.Second, fault: healthy},
	{name: "healthyTwoDomains", chooseNode: nodesOfTwoDomains, length: 7 * time.Second, fault: healthy},
	{name: "healthyMoving", chooseNode: rotatingNode, length: 9 * time.Second, fault: healthy},
	{name: "smallTeams", teams: smallTeams, chooseNode: anyNode, length: 20 * time.Second},
	{name: "rollingRestart", chooseNode: anyNode, length: 30 * time.Second, fault: rollingRestart},
	{name: "hastyRestart", chooseNode: anyNode, length: 15 * time.Second, fault: hastyRestart},
	{name: "logOutage", chooseNode: anyNode, length: 8 * time.Second, fault: logOutage},
	{name: "lostAppendAnswers", chooseNode: anyNode, length: 6 * time.Second, fault: lostAppendAnswers},
	{name: "domainCut", chooseNode: anyNode, length: 9 * time.Second, fault: domainCut},
	{name: "nodePaused", chooseNode: anyNode, length: 14 * time.Second, fault: nodePaused},
	{name: "holderCrash", chooseNode: anyNode, length: 16 * time.Second, fault: holderCrash},
	{name: "operatorRace", chooseNode: anyNode, length: 4 * time.Second, fault: operatorRace},
	{name: "keyWithdrawn", chooseNode: anyNode, length: 6 * time.Second, fault: keyWithdrawn},
	{name: "backendLeaving", chooseNode: anyNode, length: 6 * time.Second, fault: backendLeaving},
	{name: "backendDead", chooseNode: anyNode, length: 6 * time.Second, fault: backendDead},
	{name: "logOutageAndHolderCrash", chooseNode: anyNode, length: 16 * time.Second, fault: logOutageAndHolderCrash},
	{name: "domainCutAndNodePaused", chooseNode: anyNode, length: 14 * time.Second, fault: domainCutAndNodePaused},
}

func (s scenario) withDefaults() scenario {
	if s.teams == nil {
		s.teams = usualTeams
	}
	return s
}
