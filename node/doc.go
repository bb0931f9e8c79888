// Package node holds what every entry and sidecar does: it keeps the lists, the roster and the use up to date.
package node
