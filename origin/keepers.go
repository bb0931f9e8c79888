package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Keepers returns the addresses of the n agents that keep the record of a stream, by rendezvous hashing: processes that know
// nearly the same agents agree on most of them, and each agent keeps as many records.
func Keepers(stream uint64, agents []string, n int) []string {
	type scored struct {
		address string
		score   uint64
	}
	var best []scored
	for _, address := range agents {
		next := scored{address, mix(stream ^ xxhash.Sum64String(address))}
		i, _ := slices.BinarySearchFunc(best, next, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if i >= n {
			continue
		}
		best = slices.Insert(best, i, next)
		best = best[:min(n, len(best))]
	}
	addresses := make([]string, 0, len(best))
	for _, b := range best {
		addresses = append(addresses, b.address)
	}
	return addresses
}

// mix spreads the bits of a number over all of its bits (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
