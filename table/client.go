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

	"gypsumbank/jsonclient"
)

var (
	// ErrConflict reports that a condition of a transaction did not hold, so nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrNotFound reports that no item has the key.
	ErrNotFound = errors.New("no such item")
	// ErrUnavailable reports that the service did not answer, so a write may or may not have taken effect.
	ErrUnavailable = errors.New("table service unavailable")
)

// Item is a value with the version that the service gave it.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Put writes a value if the item's version is IfVersion, where zero stands for an absent item.
type Put struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	IfVersion uint64 `json:"if-version"`
	// TTLSeconds is the time after which the service deletes the item; zero keeps it.
	TTLSeconds int64 `json:"ttl-seconds,omitempty"`
}

// Check asks that an item has a version without writing it.
type Check struct {
	Key       string `json:"key"`
	IfVersion uint64 `json:"if-version"`
}

// Transaction is a set of conditions and writes that take effect together or not at all.
type Transaction struct {
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts,omitempty"`
}

// Client reads and writes items; it is safe for concurrent use.
type Client struct {
	http    *jsonclient.Client
	timeout time.Duration
	down    atomic.Bool
}

// New returns a client of the service at address whose calls end within timeout.
func New(address string, timeout time.Duration) *Client {
	return &Client{http: jsonclient.New(address), timeout: timeout}
}

// Get returns an item, ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var item Item
	err := c.http.Do(ctx, "GET", "/items/"+url.PathEscape(key), nil, &item)
	return item, c.classify(err)
}

// List returns at most limit items whose keys start with prefix and sort after the key after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Item, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", after)
	query.Set("limit", strconv.Itoa(limit))
	var items []Item
	err := c.http.Do(ctx, "GET", "/items?"+query.Encode(), nil, &items)
	return items, c.classify(err)
}

// Write commits a transaction; the error wraps ErrConflict or ErrUnavailable.
func (c *Client) Write(ctx context.Context, transaction Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := c.http.Do(ctx, "POST", "/transactions", transaction, nil)
	return c.classify(err)
}

// Up reports whether the latest call reached the service.
func (c *Client) Up() bool { return !c.down.Load() }

func (c *Client) classify(err error) error {
	var status *jsonclient.StatusError
	if errors.As(err, &status) {
		switch status.Status {
		case fasthttp.StatusNotFound:
			c.reached()
			return ErrNotFound
		case fasthttp.StatusConflict:
			c.reached()
			return ErrConflict
		}
	}
	if err != nil {
		c.down.Store(true)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.reached()
	return nil
}

func (c *Client) reached() {
	c.down.Store(false)
}
