package request

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Content identifies something that requests may have in common: a prompt part or, for repeats, the whole request.
type Content struct {
	Hash uint64
	// Rank orders the contents of a request from what most requests share to what only its repeats share.
	Rank uint32
}

// wholeRequestRank is the rank of a whole request, above those of prompt parts.
const wholeRequestRank = 1 << 16

// String returns the hash in hexadecimal, as logs show it.
func (c Content) String() string { return fmt.Sprintf("%016x", c.Hash) }

// MarshalText returns what String does.
func (c Content) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// IsWhole reports whether the content is a whole request.
func (c Content) IsWhole() bool { return c.Rank >= wholeRequestRank }

// Contents returns the contents of a request: each prompt part but the last, and the request as a whole.
func (r *Request) Contents() []Content {
	ids := r.SharedPartIDs()
	contents := make([]Content, 0, len(ids)+1)
	for i, id := range ids {
		contents = append(contents, Content{Hash: xxhash.Sum64String("prompt-part\x00" + id), Rank: uint32(min(i, wholeRequestRank-1))})
	}
	return append(contents, Content{Hash: r.Fingerprint(), Rank: wholeRequestRank})
}
