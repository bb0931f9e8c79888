// Package node is the part that entries and sidecars have in common: it keeps the lists, the roster of VMs and the
// counters of members' use up to date, by polling the platform and by exchanging messages with other nodes.
package node
