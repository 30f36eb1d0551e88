package control

import (
	"time"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// Values of wire.ProposeAnswer.Refusal. A refused proposal was certainly not committed.
const (
	// RefusedNoLeader refuses a proposal that reached no leader. Any other Refusal is the text of an encoding error.
	RefusedNoLeader = "noLeader"
)

// OutcomeOnly is the base revision of a dry run that only queries the outcome of an earlier change with the same ID.
const OutcomeOnly = -1

// origin identifies the call to which an answer is sent. An empty instance stands for no call.
type origin struct {
	instance string
	call     int
}

// proposal is a command that waits for its outcome. The wait ends at until.
type proposal struct {
	command wire.Command
	until   time.Time
	// retryAt is when the command is sent to the leader again.
	retryAt time.Time
	// sent is set once the command was sent to a leader. From then on the command may be committed.
	sent bool
	// cancelled is closed when the command is no longer to be sent; nil if it always is.
	cancelled <-chan struct{}
	// done receives the outcome.
	done func(wire.ProposeAnswer)
}

// proposals holds the waiting proposals of this instance by call ID, and the newest call ID.
type proposals struct {
	rows map[int]*proposal
	call int
}

// callBits is the number of low bits of a call ID that count the calls of one incarnation.
const callBits = 20

// FirstCall returns the number from which the call IDs of an incarnation count up. Since incarnations use different
// call IDs, an answer to a call of an earlier incarnation is never mistaken for the answer to another call.
func FirstCall(incarnation int) int { return incarnation << callBits }

func newProposals(incarnation int) proposals {
	return proposals{rows: make(map[int]*proposal), call: FirstCall(incarnation)}
}

// propose adds a command from this instance's own traffic or operators to the waiting proposals. Every command can
// safely be sent more than once: changes, claims and resolutions of claims carry IDs, cost totals and departures carry sequences,
// orders to evacuate carry the version of what they change.
func (c *Core) propose(command wire.Command, until time.Time, done func(wire.ProposeAnswer)) *proposal {
	c.proposals.call++
	p := &proposal{command: command, until: until, done: done}
	c.proposals.rows[c.proposals.call] = p
	return p
}

// isCancelled reports whether the command is no longer to be sent.
func (p *proposal) isCancelled() bool {
	select {
	case <-p.cancelled:
		return true
	default:
		return false
	}
}

// runProposals sends waiting proposals to the leader, retries unanswered ones every ProposalRetry, and finishes those
// whose wait has ended.
func (c *Core) runProposals() {
	for call, p := range c.proposals.rows {
		if c.now.After(p.until) || p.isCancelled() {
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

// finishProposal answers the proposer. After a refusal because the receiver doesn't lead, the proposal waits for
// its next retry instead, until the end of its wait.
func (c *Core) finishProposal(call int, a wire.ProposeAnswer) {
	p := c.proposals.rows[call]
	if p == nil {
		return
	}
	if a.Refusal == RefusedNoLeader && c.now.Before(p.until) && !p.isCancelled() {
		return
	}
	delete(c.proposals.rows, call)
	p.done(a)
}

// appendProposal appends a command to the log on the leader. Any other instance refuses the command.
func (c *Core) appendProposal(from origin, cmd wire.Command) {
	if c.leaderState == nil {
		c.answerProposal(from, wire.ProposeAnswer{Refusal: RefusedNoLeader, Leader: c.leader})
		return
	}
	if cmd.Change != nil && c.prepareChange(from, &cmd) {
		return
	}
	if cmd.Depart != nil && c.state.HasDeparted(*cmd.Depart) {
		c.answerProposal(from, wire.ProposeAnswer{Committed: true})
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
	c.leaderState.origins[index] = from
	c.appended = true
}

// prepareChange answers a change that needs no log entry, because the change is a dry run or was already committed, and
// reports whether it did. To the command of any other change, prepareChange adds the problems found.
func (c *Core) prepareChange(from origin, cmd *wire.Command) bool {
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

// answerApplied answers the proposal whose entry at index was applied. Only the leader that appended the entry does so.
func (c *Core) answerApplied(index int, out state.Outcome) {
	if c.leaderState == nil {
		return
	}
	from, ok := c.leaderState.origins[index]
	if !ok {
		return
	}
	delete(c.leaderState.origins, index)
	if out.Change != nil {
		c.finishChange(from, *out.Change)
		return
	}
	c.answerProposal(from, wire.ProposeAnswer{Committed: true, Claim: out.Claim, Fencing: out.Fencing, Evacuation: out.Evacuation})
}

// finishChange answers a change. The answer to a pending change waits until the change is in force everywhere, for up
// to AcceptWait, unless AcceptCommitted is set.
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
	for _, w := range c.leaderState.waitingChanges {
		if w.origin == from {
			return
		}
	}
	c.leaderState.waitingChanges = append(c.leaderState.waitingChanges, waitingChange{
		outcome: out,
		origin:  from,
		until:   c.now.Add(c.timing.AcceptWait),
	})
	c.runConfig()
	c.runAcceptance()
}

// answerProposal sends the answer to a proposal to its origin, if there is one.
func (c *Core) answerProposal(to origin, a wire.ProposeAnswer) {
	if to.instance == "" {
		return
	}
	a.Leader = c.leader
	c.send(to.instance, wire.Frame{Call: to.call, ProposeAnswer: &a})
}
