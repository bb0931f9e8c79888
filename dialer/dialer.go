package dialer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"gypsumbank/handshake"
)

const (
	dialTimeout     = time.Second
	idleExpiration  = 30 * time.Second
	maxIdle         = 512
	maxIdlePerPeer  = 16
	maxMessageBytes = 32 << 20
)

// ErrNotConnected reports that no connection could be made, so nothing was sent.
var ErrNotConnected = errors.New("not connected")

// Dialer opens connections and keeps idle ones for reuse.
type Dialer struct {
	secret *handshake.Secret
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// New returns a dialer that proves secret, unless it is nil, on each connection.
func New(secret *handshake.Secret) *Dialer {
	options := drpcpool.Options{Expiration: idleExpiration, Capacity: maxIdle, KeyCapacity: maxIdlePerPeer}
	return &Dialer{secret: secret, pool: drpcpool.New[string, drpcpool.Conn](options)}
}

// ManagerOptions returns the limits of a connection for both of its ends.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: false,
	}
}

// Conn returns a connection to address that reuses idle ones; calls on it wrap ErrNotConnected if none can be made.
func (d *Dialer) Conn(ctx context.Context, address string) drpc.Conn {
	return d.pool.Get(ctx, address, d.dial)
}

// Dial returns a new connection that is not reused and that the caller closes; errors wrap ErrNotConnected.
func (d *Dialer) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	return d.dial(ctx, address)
}

// CloseIdle closes the idle connections to address, which may have gone silent.
func (d *Dialer) CloseIdle(address string) {
	for {
		conn, ok := d.pool.Take(address)
		if !ok {
			return
		}
		conn.Close()
	}
}

// Close closes all idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	if d.secret != nil {
		if err := d.secret.ClientHandshake(conn); err != nil {
			conn.Close()
			return nil, fmt.Errorf("%w: %s: %w", ErrNotConnected, address, err)
		}
	}
	return drpcconn.NewWithOptions(CountBytes(conn), drpcconn.Options{Manager: ManagerOptions()}), nil
}
