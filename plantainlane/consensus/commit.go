package consensus

import (
	"slices"
)

// isMajority reports whether the replicas with a property are a majority of voters.
func isMajority(voters []string, hasProperty func(id string) bool) bool {
	count := 0
	for _, id := range voters {
		if hasProperty(id) {
			count++
		}
	}
	return count > len(voters)/2
}

// isQuorum reports whether the replicas with a property are a quorum: a majority of one of the voterSets.
func (n *Node) isQuorum(hasProperty func(id string) bool) bool {
	return slices.ContainsFunc(n.voterSets(), func(voters []string) bool { return isMajority(voters, hasProperty) })
}

// quorumValue returns the largest value that at least a quorum has reached.
func (n *Node) quorumValue(value func(*progress) int) int {
	largest := 0
	for _, voters := range n.voterSets() {
		var values []int
		for _, id := range voters {
			values = append(values, value(n.leadership.progress[id]))
		}
		slices.Sort(values)
		largest = max(largest, values[(len(values)-1)/2])
	}
	return largest
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
