package sender

import "gypsumbank/connpool"

// ConnectionUse is how a request got its connection.
type ConnectionUse int

// Uses of connections.
const (
	Opened    ConnectionUse = iota // for the request
	Reused                         // idle for a short time
	Validated                      // idle for long, and found sound by the first bytes of the request
)

// String returns the name of the use in logs.
func (u ConnectionUse) String() string { return [...]string{"opened", "reused", "validated"}[u] }

// useOf returns how a request got its connection.
func useOf(conn *connpool.Conn) ConnectionUse {
	switch {
	case conn.MayBeStale:
		return Validated
	case conn.Reused:
		return Reused
	default:
		return Opened
	}
}
