package descriptor_test

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"gypsumbank/descriptor"
)

// TestSharesLeaveAReserve checks that callers and targets together leave descriptors for all else.
func TestSharesLeaveAReserve(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ limit, callers, targets int }{
		"gateway of a site": {limit: 4100, callers: 2050, targets: 1536},
		"few":               {limit: 64, callers: 32, targets: 24},
		"hardly any":        {limit: 2, callers: 1, targets: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			budget := descriptor.New(test.limit)
			if budget.Limit() != test.limit || budget.Callers() != test.callers || budget.Targets() != test.targets {
				t.Errorf("limit %d: %d for callers, %d for targets; want %d and %d", budget.Limit(), budget.Callers(), budget.Targets(), test.callers, test.targets)
			}
		})
	}
}

func TestLimitIsThatOfTheSystem(t *testing.T) {
	t.Parallel()
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err != nil {
		t.Fatal(err)
	}
	for name, limit := range map[string]int{"none set": 0, "more than the system allows": int(system.Cur) + 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := descriptor.New(limit).Limit(); got != int(system.Cur) {
				t.Errorf("limit %d, want %d", got, system.Cur)
			}
		})
	}
}

func TestIsExhausted(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		err  error
		want bool
	}{
		"of the process": {err: fmt.Errorf("accept: %w", os.NewSyscallError("accept4", syscall.EMFILE)), want: true},
		"of the machine": {err: syscall.ENFILE, want: true},
		"refused":        {err: syscall.ECONNREFUSED},
		"none":           {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := descriptor.IsExhausted(test.err); got != test.want {
				t.Errorf("IsExhausted(%v) = %v", test.err, got)
			}
		})
	}
}
