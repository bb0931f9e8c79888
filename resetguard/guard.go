package resetguard

import "net"

// Guard has any close of a connection reset it, also that by the end of the process, until it is lifted.
type Guard struct{ conn lingerer }

// lingerer is a connection with the socket option of that name.
type lingerer interface{ SetLinger(seconds int) error }

// Values of the socket option.
const (
	discardUnsent = 0
	sendUnsent    = -1
)

// New guards a connection; one that is not of TCP, or nil, is left as it is.
func New(conn net.Conn) Guard {
	g := Guard{}
	g.conn, _ = conn.(lingerer)
	g.set(discardUnsent)
	return g
}

// Lift has the connection close in order, after what was written to it.
func (g Guard) Lift() { g.set(sendUnsent) }

func (g Guard) set(linger int) {
	if g.conn != nil {
		_ = g.conn.SetLinger(linger) // fails only if the connection is closed already
	}
}
