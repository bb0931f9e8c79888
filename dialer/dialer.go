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
	dialTimeout         = time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConns        = 512
	maxIdleConnsPerPeer = 16
	maxMessageBytes     = 32 << 20
)

// ErrNotConnected is returned if no authenticated connection could be opened, so no call was sent.
var ErrNotConnected = errors.New("not connected")

// Dialer opens connections and keeps a pool of idle ones for reuse.
type Dialer struct {
	secret *handshake.Secret
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// New returns a dialer that authenticates each connection with secret, or does not authenticate if secret is nil.
func New(secret *handshake.Secret) *Dialer {
	options := drpcpool.Options{Expiration: idleConnTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdleConnsPerPeer}
	return &Dialer{secret: secret, pool: drpcpool.New[string, drpcpool.Conn](options)}
}

// ManagerOptions returns the drpc options that both ends of a connection use.
func ManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: false,
	}
}

// Conn returns a pooled connection to address. It reuses an idle connection or opens one for the first call; errors of calls
// wrap ErrNotConnected if that fails.
func (d *Dialer) Conn(ctx context.Context, address string) drpc.Conn {
	return d.pool.Get(ctx, address, d.dial)
}

// Dial opens a connection outside the pool, which the caller must close; errors wrap ErrNotConnected.
func (d *Dialer) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	return d.dial(ctx, address)
}

// CloseIdle closes the idle connections to address. It is meant for use after a failed call, when the peer may no longer answer
// on them.
func (d *Dialer) CloseIdle(address string) {
	for {
		conn, ok := d.pool.Take(address)
		if !ok {
			return
		}
		conn.Close()
	}
}

// Close closes the pool and all idle connections.
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
