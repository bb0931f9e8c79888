package node

import "time"

const (
	// listsApplyTime is the time in which an accepted edit of the lists is in force at a node that reaches the table or another node that has it.
	listsApplyTime = 5 * time.Second
	// readsInApplyTime is the number of reads of the table that fit into it where reads are rare.
	readsInApplyTime = 3
)

// confirmLists records that what was asked at a time knew no newer lists than those in force.
func (n *Node) confirmLists(askedAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if askedAt.After(n.listsConfirmedAt) {
		n.listsConfirmedAt = askedAt
	}
}

// ListsAge returns how long ago the table or another node was asked that knew no newer lists than those in force; ok is false if none ever was.
func (n *Node) ListsAge() (age time.Duration, ok bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return time.Since(n.listsConfirmedAt), !n.listsConfirmedAt.IsZero()
}

// ListsMayBeOutdated reports whether newer lists than those in force may have been accepted so long ago that they should be in force: what the lists lack may exist.
func (n *Node) ListsMayBeOutdated() bool {
	age, ok := n.ListsAge()
	return !ok || age > max(listsApplyTime, readsInApplyTime*n.tablePollInterval())
}
