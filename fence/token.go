package fence

import "time"

// counterBits is the number of low bits of a token that count the orders within an epoch.
const counterBits = 20

// Token is a fencing token: an epoch that is unique to one sidecar at one engine, followed by a count of its orders.
type Token uint64

// New returns the first token of an epoch that is above every order of earlier sidecars, including orders that have not reached
// the engine yet: each sidecar has the engine confirm its epoch before it sends an order, so all orders of earlier ones have
// epochs up to that of highest, the highest token known.
func New(highest uint64, now time.Time) Token {
	epoch := max(highest>>counterBits+1, uint64(now.Unix()))
	return Token(epoch << counterBits)
}

// Next returns the token of the next order.
func (t Token) Next() Token { return t + 1 }
