package control

import (
	"encoding/json"
	"time"

	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// statusMargin is how long before StatusRequested.Until this instance stops waiting for the leader's answer and replies
// with the status that it knows itself.
const statusMargin = 200 * time.Millisecond

// pendingQuery is a frame sent to another instance that waits for its answer.
type pendingQuery struct {
	until time.Time
	reply chan<- wire.Frame
}

// queries holds the unanswered queries of this instance by call ID, and the newest call ID.
type queries struct {
	rows map[int]pendingQuery
	call int
}

func newQueries(incarnation int) queries {
	return queries{rows: make(map[int]pendingQuery), call: FirstCall(incarnation)}
}

// query sends a frame to an instance. reply receives the answer, or the zero Frame if there is none by until.
func (c *Core) query(to string, f wire.Frame, until time.Time, reply chan<- wire.Frame) {
	c.queries.call++
	f.Call = c.queries.call
	c.queries.rows[f.Call] = pendingQuery{until: until, reply: reply}
	c.send(to, f)
}

// runQueries answers queries that have timed out with the zero Frame.
func (c *Core) runQueries() {
	for call, q := range c.queries.rows {
		if c.now.After(q.until) {
			delete(c.queries.rows, call)
			q.reply <- wire.Frame{}
		}
	}
}

// finishQuery passes an answer to the query with the same call ID. An answer without a waiting query is dropped.
func (c *Core) finishQuery(f wire.Frame) {
	q, ok := c.queries.rows[f.Call]
	if !ok {
		return
	}
	delete(c.queries.rows, f.Call)
	q.reply <- f
}

// requestStatus requests the status of all instances from the leader. If there is no leader or no answer, the reply is
// the status as this instance knows it. The upstreams are always those that this instance knows.
func (c *Core) requestStatus(in StatusRequested) {
	if c.leader == "" {
		in.Reply <- c.localStatus()
		return
	}
	reply := make(chan wire.Frame, 1)
	c.query(c.leader, wire.Frame{StatusQuery: ptr(true)}, in.Until.Add(-statusMargin), reply)
	local := c.localStatus()
	go func() {
		f := <-reply
		if f.Status == nil {
			in.Reply <- local
			return
		}
		f.Status.Upstreams = local.Upstreams
		in.Reply <- *f.Status
	}()
}

// answerStatus answers a status query of another instance.
func (c *Core) answerStatus(to origin) {
	s := c.localStatus()
	c.send(to.instance, wire.Frame{Call: to.call, Status: &s})
}

// answerCost answers with the committed cost totals of a workspace. An instance that doesn't lead sends no answer.
func (c *Core) answerCost(to origin, q wire.CostQuery) {
	if c.leaderState == nil {
		return
	}
	c.send(to.instance, wire.Frame{Call: to.call, Cost: &wire.CostAnswer{Rows: c.state.CostTotals(q.Workspace)}})
}

// answerResult answers with the committed outcome of a request that is not idempotent. An instance that doesn't lead
// sends no answer.
func (c *Core) answerResult(to origin, q wire.ResultQuery) {
	if c.leaderState == nil {
		return
	}
	a := wire.ResultAnswer{}
	if claim, ok := c.state.ClaimOf(q.Workspace, q.RequestID); ok {
		a.Found = true
		a.Answer = resultOf(claim)
	}
	c.send(to.instance, wire.Frame{Call: to.call, ResultAnswer: &a})
}

// resultOf returns the answer that belongs to a claim. The status of a stored result that can't be read is unknown.
func resultOf(claim state.Claim) *wire.PipelineAnswer {
	a := wire.PipelineAnswer{RequestID: claim.Claim.RequestID, Status: claim.State}
	if claim.State != state.ClaimRan {
		return &a
	}
	if err := json.Unmarshal(claim.Result, &a); err != nil {
		a.Status = state.ClaimUnknown
	}
	return &a
}

// localStatus returns the status as this instance knows it. It is complete only on the leader.
func (c *Core) localStatus() wire.StatusAnswer {
	s := wire.StatusAnswer{Revision: c.config.Revision, Leader: c.leader, Term: c.term, Evacuations: c.config.EvacuationList()}
	for _, row := range c.roster.View().Rows.All() {
		if !row.Expired {
			s.Upstreams = append(s.Upstreams, wire.UpstreamStatus{Announcement: row.Announcement})
		}
	}
	if c.leaderState == nil {
		for _, i := range c.instances.rows.All() {
			s.Instances = append(s.Instances, wire.InstanceStatus{Info: i, Lease: "unknown", Replica: "unknown", Leader: i.ID == c.leader})
		}
		return s
	}
	s.Revision, s.AcceptedRevision = c.state.Config.Revision, c.leaderState.acceptedRevision
	roles := replicaRoles(c.log.Replicas())
	for id, row := range c.leaderState.rows {
		i := wire.InstanceStatus{
			Info:            row.info,
			AppliedRevision: row.appliedRevision,
			Lease:           "lapsed",
			Replica:         roles.of(row.info),
			Leader:          id == c.self.ID,
		}
		if c.now.Before(row.leaseUntil) {
			i.Lease = "held"
		}
		s.Instances = append(s.Instances, i)
	}
	return s
}

// roleSet holds the role of each replica in a membership, by replica ID.
type roleSet struct {
	roles map[string]string
}

func replicaRoles(r wire.ReplicaSet) roleSet {
	out := roleSet{make(map[string]string)}
	for _, id := range r.Learners {
		out.roles[id] = "learner"
	}
	for _, id := range r.Voters {
		out.roles[id] = "voter"
	}
	return out
}

// of returns the role of an instance's replica: voter, learner, spare for a replica that isn't a member, or none for
// an instance without a data folder.
func (r roleSet) of(i wire.InstanceInfo) string {
	if role := r.roles[i.Replica]; role != "" {
		return role
	}
	if i.HasData {
		return "spare"
	}
	return "none"
}

func ptr[T any](v T) *T {
	return &v
}
