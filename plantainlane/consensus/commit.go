package consensus

import (
	"slices"
)

func (n *Node) quorum() int { return len(n.replicas().Voters)/2 + 1 }

func (n *Node) countVoters(has func(id string) bool) int {
	count := 0
	for _, id := range n.replicas().Voters {
		if has(id) {
			count++
		}
	}
	return count
}

// quorumValue returns the largest value that a quorum of voters has reached.
func (n *Node) quorumValue(value func(*progress) int) int {
	var values []int
	for _, id := range n.replicas().Voters {
		values = append(values, value(n.lead.progress[id]))
	}
	slices.Sort(values)
	return values[len(values)-n.quorum()]
}

// commitByQuorum commits what a quorum has made durable, if it is of the leader's own term; entries of
// earlier terms are committed with it.
func (n *Node) commitByQuorum() {
	index := n.quorumValue(func(p *progress) int { return p.match })
	if term, ok := n.log.term(index); ok && term == n.hard.Term {
		n.setCommit(index)
	}
}

func (n *Node) setCommit(index int) { n.commit = max(n.commit, index) }
