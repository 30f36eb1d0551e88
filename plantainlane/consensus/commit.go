package consensus

import (
	"slices"
)

// quorum returns the number of voters that make a majority.
func (n *Node) quorum() int { return len(n.replicas().Voters)/2 + 1 }

func (n *Node) countVoters(hasProperty func(id string) bool) int {
	count := 0
	for _, id := range n.replicas().Voters {
		if hasProperty(id) {
			count++
		}
	}
	return count
}

// quorumValue returns the largest value that at least a quorum of voters has reached.
func (n *Node) quorumValue(value func(*progress) int) int {
	var values []int
	for _, id := range n.replicas().Voters {
		values = append(values, value(n.leadership.progress[id]))
	}
	slices.Sort(values)
	return values[len(values)-n.quorum()]
}

// commitByQuorum raises the commit index to the newest entry that is durable on a quorum, if that entry has the
// leader's own term. Entries of earlier terms are committed only together with such an entry, because a later
// leader could otherwise still overwrite them.
func (n *Node) commitByQuorum() {
	index := n.quorumValue(func(p *progress) int { return p.match })
	if term, ok := n.log.term(index); ok && term == n.hardState.Term {
		n.setCommit(index)
	}
}

// setCommit raises the commit index to index if it is lower.
func (n *Node) setCommit(index int) { n.commit = max(n.commit, index) }
