package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// SlotCount is the number of slots over which the keys of one service are spread. Replicas own whole slots.
const SlotCount = 64

const (
	uuidLength             = 36
	uuidVersionIndex       = 14
	uuidTimeHexDigits      = 12
	uuidSeparators         = 4
	uuidHexDigits          = uuidLength - uuidSeparators
	uuidTimeOrderedVersion = '7'
)

// Key is an idempotency key of one customer.
type Key struct {
	hash      string
	createdAt time.Time // zero if the key does not tell
}

// NewKey returns the key with the text that a customer sent. A key that is a UUID of version 7 tells when it was made.
func NewKey(customer, text string) Key {
	sum := sha256.Sum256([]byte(customer + "\x00" + text))
	return Key{hash: hex.EncodeToString(sum[:16]), createdAt: uuidTime(text)}
}

// Slot returns the number of the slot that the key belongs to, from 0 to SlotCount - 1.
func (k Key) Slot() int {
	firstByte, _ := hex.DecodeString(k.hash[:2])
	return int(firstByte[0]) % SlotCount
}

// uuidTime returns the time in a UUID of version 7, or zero for any other text.
func uuidTime(text string) time.Time {
	if len(text) != uuidLength || text[uuidVersionIndex] != uuidTimeOrderedVersion {
		return time.Time{}
	}
	digits := strings.ReplaceAll(text, "-", "")
	if len(digits) != uuidHexDigits {
		return time.Time{}
	}
	uuidBytes, err := hex.DecodeString(digits)
	if err != nil {
		return time.Time{}
	}
	var unixMS int64
	for _, b := range uuidBytes[:uuidTimeHexDigits/2] {
		unixMS = unixMS<<8 | int64(b)
	}
	return time.UnixMilli(unixMS)
}
