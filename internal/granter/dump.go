// The dump shows where a team's tokens are, as far as this node knows: the contents of its purse and what its banks
// hold, have granted, lent and borrowed.
//
// Example: an account {Team: "okhotskAgents", Rate: 50000, LentRate: 50000, Bucket: 0} has lent its whole rate and
// has no tokens left.

package granter

import (
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// State is this node's view of the teams' tokens.
type State struct {
	Purses   []PurseState
	Accounts []AccountState
	Holders  []HolderState
	Counters Counters
}

// PurseState is the purse of one team.
type PurseState struct {
	Team    identifier.Team
	Slot    int
	Unspent identifier.Tokens
	Slices  int
	Waiters int
	Demand  identifier.Tokens
}

// AccountState is one team's account at the bank of a slot.
type AccountState struct {
	Team         identifier.Team
	Slot         int
	Epoch        identifier.Epoch
	Authority    bool
	Rate         identifier.Tokens
	Cap          identifier.Tokens
	Bucket       identifier.Tokens
	Outstanding  identifier.Tokens
	LentRate     identifier.Tokens
	LentCap      identifier.Tokens
	BorrowedRate identifier.Tokens
	BorrowedCap  identifier.Tokens
	// Growing is set while a larger share waits for the confirmation of other domains.
	Growing bool
}

// HolderState is the holder of the bank of a domain and slot, according to the log.
type HolderState struct {
	Domain identifier.FailureDomain
	Slot   int
	Node   identifier.Node
	Epoch  identifier.Epoch
	// Silent is set while other banks are asked because this holder did not answer, or answered NotHolder.
	Silent bool
}

// Dump returns the state, sorted by team, slot and domain.
func (g *Granter) Dump(now clock.Time) State {
	s := State{Counters: g.Counters()}
	for _, p := range g.sortedPurses {
		s.Purses = append(s.Purses, p.dump(now))
	}
	for _, b := range g.banks {
		for _, a := range b.sortedAccounts {
			s.Accounts = append(s.Accounts, AccountState{
				Team: a.team, Slot: b.slot, Epoch: b.epoch, Authority: g.hasAuthority(b, now),
				Rate: a.rate, Cap: a.cap, Bucket: a.bucket, Outstanding: a.outstanding,
				LentRate: a.lentRate(), LentCap: a.lentCap(),
				BorrowedRate: a.borrowedRate(), BorrowedCap: a.borrowedCap(), Growing: b.shareIncrease != nil,
			})
		}
	}
	for _, d := range g.domains {
		for i, h := range d.holders {
			s.Holders = append(s.Holders, HolderState{
				Domain: d.name, Slot: i, Node: h.node, Epoch: h.epoch, Silent: now < h.avoidUntil,
			})
		}
	}
	return s
}

func (p *purse) dump(now clock.Time) PurseState {
	s := PurseState{Team: p.team, Slot: p.slot, Waiters: len(p.waiters), Demand: p.currentDemand(now)}
	for _, n := range p.slices {
		if now < n.until {
			s.Slices++
			s.Unspent += n.left
		}
	}
	return s
}
