package control

import (
	"time"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// Refusals of a proposal that was certainly not committed, as wire.ProposeAnswer carries them.
const (
	RefusedNoLeader = "noLeader"
)

// OutcomeOnly as the base revision of a dry run asks for the outcome of an earlier change only.
const OutcomeOnly = -1

// origin is where the answer to a call goes.
type origin struct {
	instance string
	call     int
}

// proposal is a command that waits for its outcome.
type proposal struct {
	command wire.Command
	until   time.Time
	retryAt time.Time
	// sent tells that the command went to some leader, so that it may be committed.
	sent  bool
	reply chan<- wire.ProposeAnswer
}

type proposals struct {
	rows map[int]*proposal
	call int
}

// callBits is the share of a call ID that counts the calls of one incarnation.
const callBits = 20

// FirstCall returns where an incarnation's call IDs start, so that an answer to an earlier incarnation's
// call is never taken for the answer to another.
func FirstCall(incarnation int) int { return incarnation << callBits }

func newProposals(incarnation int) proposals {
	return proposals{rows: make(map[int]*proposal), call: FirstCall(incarnation)}
}

// propose takes a command from this instance's own traffic or operators. Every command can be sent again:
// changes, claims and their ends carry IDs, totals carry sequences.
func (c *Core) propose(in Proposed) {
	c.proposals.call++
	c.proposals.rows[c.proposals.call] = &proposal{command: in.Command, until: in.Until, reply: in.Reply}
}

// runProposals passes waiting commands to the leader, again after a while, and gives up on old ones.
func (c *Core) runProposals() {
	for call, p := range c.proposals.rows {
		if c.now.After(p.until) {
			a := wire.ProposeAnswer{}
			if !p.sent {
				a.Refusal = RefusedNoLeader
			}
			c.finishProposal(call, a)
			continue
		}
		if c.leader == "" || c.now.Before(p.retryAt) {
			continue
		}
		p.sent = true
		p.retryAt = c.now.Add(c.timing.ProposalRetry)
		c.send(c.leader, wire.Frame{Call: call, Propose: &wire.Propose{Command: p.command}})
	}
}

// finishProposal answers the proposer. An answer that only says that the asked instance doesn't lead
// leaves the proposal waiting for the next try.
func (c *Core) finishProposal(call int, a wire.ProposeAnswer) {
	p := c.proposals.rows[call]
	if p == nil {
		return
	}
	if a.Refusal == RefusedNoLeader && c.now.Before(p.until) {
		return
	}
	delete(c.proposals.rows, call)
	p.reply <- a
}

// leadProposal appends a command on the leader.
func (c *Core) leadProposal(from origin, cmd wire.Command) {
	if c.lead == nil {
		c.answerProposal(from, wire.ProposeAnswer{Refusal: RefusedNoLeader, Leader: c.leader})
		return
	}
	if cmd.Change != nil && c.leadChange(from, &cmd) {
		return
	}
	data, err := wire.Encode(cmd)
	if err != nil {
		c.answerProposal(from, wire.ProposeAnswer{Refusal: err.Error()})
		return
	}
	index, ok := c.log.Propose(data, c.now)
	if !ok {
		c.answerProposal(from, wire.ProposeAnswer{Refusal: RefusedNoLeader})
		return
	}
	c.lead.waiting[index] = from
	c.proposed = true
}

// leadChange answers a change that needs no log entry: one that is only validated, or was already made. It
// notes the problems of any other.
func (c *Core) leadChange(from origin, cmd *wire.Command) bool {
	change := cmd.Change
	if old, ok := c.state.Changes.Get(change.ChangeID); ok {
		c.finishChange(from, old)
		return true
	}
	if change.DryRun && change.BaseRevision == OutcomeOnly {
		out := wire.ChangeOutcome{ChangeID: change.ChangeID, State: state.ChangeUnknown, CurrentRevision: c.state.Config.Revision}
		c.answerProposal(from, wire.ProposeAnswer{Committed: true, Change: &out})
		return true
	}
	cmd.ChangeProblems = checkChange(c.state.Config, *change)
	if !change.DryRun {
		return false
	}
	out := wire.ChangeOutcome{
		ChangeID:        change.ChangeID,
		State:           state.ChangeValid,
		CurrentRevision: c.state.Config.Revision,
		Problems:        cmd.ChangeProblems,
	}
	if len(out.Problems) > 0 {
		out.State = state.ChangeInvalid
	}
	c.answerProposal(from, wire.ProposeAnswer{Committed: true, Change: &out})
	return true
}

// leadApplied answers the proposal that an applied entry came from.
func (c *Core) leadApplied(index int, out state.Outcome) {
	if c.lead == nil {
		return
	}
	from, ok := c.lead.waiting[index]
	if !ok {
		return
	}
	delete(c.lead.waiting, index)
	if out.Change != nil {
		c.finishChange(from, *out.Change)
		return
	}
	c.answerProposal(from, wire.ProposeAnswer{Committed: true, Claim: out.Claim, Fencing: out.Fencing})
}

// finishChange answers a change, once it is in force everywhere if it is to be.
func (c *Core) finishChange(from origin, out wire.ChangeOutcome) {
	out.CurrentRevision = c.state.Config.Revision
	if out.State == state.ChangePending && c.timing.AcceptCommitted {
		out.State = state.ChangeAccepted
		c.runConfig()
	}
	if out.State != state.ChangePending {
		c.answerProposal(from, wire.ProposeAnswer{Committed: true, Change: &out})
		return
	}
	for _, w := range c.lead.changes {
		if w.to == from {
			return
		}
	}
	c.lead.changes = append(c.lead.changes, waitingChange{
		outcome: out,
		to:      from,
		until:   c.now.Add(c.timing.AcceptWait),
	})
	c.runConfig()
	c.runAcceptance()
}

func (c *Core) answerProposal(to origin, a wire.ProposeAnswer) {
	if to.instance == "" {
		return
	}
	a.Leader = c.leader
	c.send(to.instance, wire.Frame{Call: to.call, ProposeAnswer: &a})
}
