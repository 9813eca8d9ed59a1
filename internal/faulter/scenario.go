// A scenario is a load, a fault and a length. The lengths are as short as the fault allows: a takeover needs the
// promise term and the wait for what the old holder granted, some eleven seconds.
//
// Example: {name: "domainCut", spread: anywhere, length: 9 s, fault: domainCut}.

package faulter

import (
	"context"
	"time"
)

type scenario struct {
	name   string
	teams  []teamPlan
	spread spread
	length time.Duration
	fault  func(ctx context.Context, r *run) error
}

var scenarios = []scenario{
	{name: "healthyOneNode", spread: atOneNode, length: 7 * time.Second, fault: healthy},
	{name: "healthyTwoDomains", spread: atTwoDomains, length: 7 * time.Second, fault: healthy},
	{name: "healthyMoving", spread: moving, length: 9 * time.Second, fault: healthy},
	{name: "smallTeams", teams: smallTeams, spread: anywhere, length: 20 * time.Second},
	{name: "rollingRestart", spread: anywhere, length: 30 * time.Second, fault: rollingRestart},
	{name: "hastyRestart", spread: anywhere, length: 15 * time.Second, fault: hastyRestart},
	{name: "logOutage", spread: anywhere, length: 8 * time.Second, fault: logOutage},
	{name: "lostAppendAnswers", spread: anywhere, length: 6 * time.Second, fault: lostAppendAnswers},
	{name: "domainCut", spread: anywhere, length: 9 * time.Second, fault: domainCut},
	{name: "nodePaused", spread: anywhere, length: 14 * time.Second, fault: nodePaused},
	{name: "holderCrash", spread: anywhere, length: 16 * time.Second, fault: holderCrash},
	{name: "operatorRace", spread: anywhere, length: 4 * time.Second, fault: operatorRace},
	{name: "keyWithdrawn", spread: anywhere, length: 6 * time.Second, fault: keyWithdrawn},
	{name: "backendLeaving", spread: anywhere, length: 6 * time.Second, fault: backendLeaving},
	{name: "backendDead", spread: anywhere, length: 6 * time.Second, fault: backendDead},
	{name: "logOutageAndHolderCrash", spread: anywhere, length: 16 * time.Second, fault: logOutageAndHolderCrash},
	{name: "domainCutAndNodePaused", spread: anywhere, length: 14 * time.Second, fault: domainCutAndNodePaused},
}

func (s scenario) fill() scenario {
	if s.teams == nil {
		s.teams = usualTeams
	}
	return s
}
