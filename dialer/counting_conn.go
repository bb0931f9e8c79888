package dialer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	bytesSent     = metrics.NewCounter(`gypsumbank_peer_bytes_total{direction="sent"}`)
	bytesReceived = metrics.NewCounter(`gypsumbank_peer_bytes_total{direction="received"}`)
)

// countingConn adds the bytes read and written to the metrics of the process.
type countingConn struct{ net.Conn }

// CountBytes wraps a connection to another process so that its traffic is counted in the metrics.
func CountBytes(conn net.Conn) net.Conn { return countingConn{conn} }

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesReceived.Add(n)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesSent.Add(n)
	return n, err
}

// BytesReceived returns the bytes that other processes have sent so far.
func BytesReceived() uint64 { return bytesReceived.Get() }
