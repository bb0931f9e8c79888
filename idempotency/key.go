package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// SlotCount is the number of slots that the keys of one service are spread over.
const SlotCount = 64

const (
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidTimeHexLen  = 12
	uuidSeparators  = 4
	uuidHexLength   = uuidLength - uuidSeparators
	uuidTimeVersion = '7'
)

// Key is an idempotency key within the scope of one customer.
type Key struct {
	hash    string
	created time.Time
}

// NewKey returns the key that a customer gave; a UUID of version 7 tells when it was made.
func NewKey(customer, text string) Key {
	sum := sha256.Sum256([]byte(customer + "\x00" + text))
	return Key{hash: hex.EncodeToString(sum[:16]), created: uuidTime(text)}
}

// Slot returns the slot of the key.
func (k Key) Slot() int {
	raw, _ := hex.DecodeString(k.hash[:2])
	return int(raw[0]) % SlotCount
}

func uuidTime(text string) time.Time {
	if len(text) != uuidLength || text[uuidVersionAt] != uuidTimeVersion {
		return time.Time{}
	}
	digits := strings.ReplaceAll(text, "-", "")
	if len(digits) != uuidHexLength {
		return time.Time{}
	}
	raw, err := hex.DecodeString(digits)
	if err != nil {
		return time.Time{}
	}
	var millis int64
	for _, b := range raw[:uuidTimeHexLen/2] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}
