package table

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"gypsumbank/calltime"
	"gypsumbank/jsonclient"
)

var (
	// ErrConflict is returned if an item of a transaction does not have the expected version; nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrNotFound is returned if no item has the key.
	ErrNotFound = errors.New("no such item")
	// ErrUnavailable is returned if the service gave no usable answer, so a write may or may not have taken effect.
	ErrUnavailable = errors.New("table service unavailable")
)

// Item is a stored value with the version that the service assigned to it.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Put is a compare-and-swap: it writes a value if the version of the item is IfVersion, where 0 stands for an absent item.
type Put struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	IfVersion uint64 `json:"if-version"`
	// TTLSeconds is the time after which the service deletes the item; 0 keeps it.
	TTLSeconds int64 `json:"ttl-seconds,omitempty"`
}

// Check is a precondition on an item that the transaction does not write.
type Check struct {
	Key       string `json:"key"`
	IfVersion uint64 `json:"if-version"`
}

// Transaction is a set of writes that take effect together, and only if all versions in Checks and Puts match.
type Transaction struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts,omitempty"`
}

// Client reads and writes items of the table. It is safe for concurrent use.
type Client struct {
	json     *jsonclient.Client
	timeout  time.Duration
	callTime calltime.Tracker
	down     atomic.Bool
}

// maxAnswerBytes is enough for an item with a list of the largest accepted size.
const maxAnswerBytes = 16 << 20

// New returns a client for the service at address. Each call fails after timeout, or later where the way to the service has been seen to take longer.
func New(address string, timeout time.Duration) *Client {
	return &Client{json: jsonclient.New(address, maxAnswerBytes), timeout: timeout}
}

// Get returns an item; the error wraps ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	return get[Item](ctx, c, "/items/"+url.PathEscape(key))
}

// List returns at most limit items whose keys start with prefix and sort after the key after; the error wraps
// ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Item, error) {
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", after)
	query.Set("limit", strconv.Itoa(limit))
	return get[[]Item](ctx, c, "/items?"+query.Encode())
}

// Write commits a transaction; the error wraps ErrConflict or ErrUnavailable.
func (c *Client) Write(ctx context.Context, transaction Transaction) error {
	_, err := do(ctx, c, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.json.Do(ctx, "POST", "/transactions", transaction, nil)
	})
	return err
}

// get returns what the service answers to a path.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return do(ctx, c, func(ctx context.Context) (out T, err error) {
		err = c.json.Do(ctx, "GET", path, nil, &out)
		return out, err
	})
}

// do makes a call in the time that it needs and converts its error.
func do[T any](ctx context.Context, c *Client, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTime.Limit(c.timeout))
	defer cancel()
	value, err := calltime.Run(ctx, &c.callTime, 0, call)
	return value, c.handleResult(err)
}

// Up reports whether the service gave a usable answer to the latest call; it is true before the first call.
func (c *Client) Up() bool { return !c.down.Load() }

// handleResult records whether the service answered and converts the error of a call to one of this package.
func (c *Client) handleResult(err error) error {
	var statusErr *jsonclient.StatusError
	if errors.As(err, &statusErr) {
		switch statusErr.Status {
		case fasthttp.StatusNotFound:
			c.markUp()
			return ErrNotFound
		case fasthttp.StatusConflict:
			c.markUp()
			return ErrConflict
		}
	}
	if err != nil {
		c.down.Store(true)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.markUp()
	return nil
}

func (c *Client) markUp() {
	c.down.Store(false)
}
