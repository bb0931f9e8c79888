package dialer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	bytesSent     = metrics.NewCounter(`gypsumbank_peer_bytes_total{direction="sent"}`)
	bytesReceived = metrics.NewCounter(`gypsumbank_peer_bytes_total{direction="received"}`)
)

type countedConn struct{ net.Conn }

// CountBytes returns a connection to another process whose bytes are counted in the metrics.
func CountBytes(conn net.Conn) net.Conn { return countedConn{conn} }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesReceived.Add(n)
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesSent.Add(n)
	return n, err
}
