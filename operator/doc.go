// Package operator implements the operators' commands: it reads and edits the lists of plans and allowances and queries
// the nodes for their status and events.
package operator
