package fence

import "time"

// orderBits is the number of low bits that count the orders within an epoch.
const orderBits = 20

// Token is a fencing number: an epoch that is unique to one sidecar at one engine, and a count of its orders.
type Token uint64

// New returns the first number of an epoch above every order of earlier sidecars, also of those that the engine has not
// seen yet: each sidecar has its epoch confirmed by the engine before it sends an order, so all orders of earlier ones
// are within epochs up to that of highest.
func New(highest uint64, now time.Time) Token {
	epoch := max(highest>>orderBits+1, uint64(now.Unix()))
	return Token(epoch << orderBits)
}

// Next returns the number of the next order.
func (n Token) Next() Token { return n + 1 }
