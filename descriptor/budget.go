package descriptor

import (
	"errors"
	"math"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// callersDivisor gives connections of callers half of the descriptors.
	callersDivisor = 2
	// targetsNumerator and targetsDivisor give connections to targets three eighths. The rest is for the store, the agents, files and
	// readiness checks.
	targetsNumerator = 3
	targetsDivisor   = 8
)

// Budget divides the descriptors of a process.
type Budget struct {
	limit int
}

// New returns the budget of a process that may have limit descriptors open, or as many as the system allows if these are fewer or limit is 0.
func New(limit int) *Budget {
	system := systemLimit()
	if limit <= 0 || limit > system {
		limit = system
	}
	return &Budget{limit: limit}
}

// systemLimit returns how many descriptors the system lets this process open.
func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// Limit returns the number of descriptors that may be open.
func (b *Budget) Limit() int { return b.limit }

// Callers returns the number of descriptors for connections of callers.
func (b *Budget) Callers() int { return max(1, b.limit/callersDivisor) }

// Targets returns the number of descriptors for connections to targets.
func (b *Budget) Targets() int { return max(1, b.limit/targetsDivisor*targetsNumerator) }

// IsExhausted reports whether an error says that no descriptor is left.
func IsExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
