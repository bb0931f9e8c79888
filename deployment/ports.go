package deployment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// minPort and maxPort bound the ports of roles. They lie below the usual range of ephemeral ports, which the system
	// assigns to outgoing connections.
	minPort = 12000
	maxPort = 32000
	// portsPerBlock is the number of ports that one process reserves. The port of a role that is down is free, so it must not be given out again while its
	// deployment runs: the tests of one process start some dozens of deployments with about 30 ports each, several at a time.
	portsPerBlock = 1000
)

var errNoPort = errors.New("no free port")

// portBlock is a range of ports that only this process assigns to roles. Without it, another process that starts a
// deployment at the same time could choose a port between its choice and its use here.
type portBlock struct {
	mu          sync.Mutex
	firstPort   int
	lastOffset  int          // offset of the last port tried, 0 before the first
	reservation net.Listener // listens on the first port until the process ends, which reserves the block
}

// processPortBlock returns the block of this process and reserves it on the first call.
var processPortBlock = sync.OnceValues(reservePortBlock)

// FreeAddress returns a loopback address with a free port from the block of this process. No other process assigns the
// port to a role, and this one only after all others of its block.
func FreeAddress() (string, error) {
	block, err := processPortBlock()
	if err != nil {
		return "", err
	}
	return block.nextFreeAddress()
}

// reservePortBlock reserves a random block by listening on its first port, which fails if another process holds it.
func reservePortBlock() (*portBlock, error) {
	blockCount := (maxPort - minPort) / portsPerBlock
	for _, block := range rand.Perm(blockCount) {
		firstPort := minPort + block*portsPerBlock
		reservation, err := net.Listen("tcp", loopbackAddress(firstPort))
		if err == nil {
			return &portBlock{firstPort: firstPort, reservation: reservation}, nil
		}
	}
	return nil, fmt.Errorf("%w: all %d blocks of ports from %d to %d are reserved", errNoPort, blockCount, minPort, maxPort)
}

// nextFreeAddress returns the address of the next free port of the block. It cycles through the ports, so that a port is
// not returned again before all others were tried.
func (b *portBlock) nextFreeAddress() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range portsPerBlock - 1 {
		b.lastOffset = b.lastOffset%(portsPerBlock-1) + 1
		if port := b.firstPort + b.lastOffset; isPortFree(port) {
			return loopbackAddress(port), nil
		}
	}
	return "", fmt.Errorf("%w from %d to %d", errNoPort, b.firstPort, b.firstPort+portsPerBlock)
}

// isPortFree reports whether a port can be bound at every address: roles listen at several loopback addresses. It binds a socket without listening on it: a child process inherits
// copies of all open sockets until it executes its program, and a copy of a listening socket would keep the port in use
// after it was closed here.
func isPortFree(port int) bool {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer unix.Close(fd) //nolint:errcheck // nothing was sent on it
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return false
	}
	return unix.Bind(fd, &unix.SockaddrInet4{Port: port}) == nil
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
