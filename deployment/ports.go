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
	// lowestPort and highestPort bound the ports of roles, below those that systems give to outgoing connections.
	lowestPort  = 12000
	highestPort = 32000
	// blockPorts is the number of ports that one process takes; a deployment of letter 1's namib size uses some 60.
	blockPorts = 200
)

var errNoPort = errors.New("no free port")

// portBlock is a range of ports that this process alone gives to roles, so that processes which start deployments at
// the same time don't pick the same port between its choice and its use.
type portBlock struct {
	mu    sync.Mutex
	first int
	next  int
	lock  net.Listener // holds the first port of the range until the process ends
}

var ownPorts = sync.OnceValues(takeBlock)

// FreeAddress returns a loopback address that nothing listens on and that no other process gives out.
func FreeAddress() (string, error) {
	block, err := ownPorts()
	if err != nil {
		return "", err
	}
	return block.address()
}

func takeBlock() (*portBlock, error) {
	blocks := (highestPort - lowestPort) / blockPorts
	for _, block := range rand.Perm(blocks) {
		first := lowestPort + block*blockPorts
		lock, err := net.Listen("tcp", loopback(first))
		if err == nil {
			return &portBlock{first: first, lock: lock}, nil
		}
	}
	return nil, fmt.Errorf("%w: all %d blocks from %d to %d are taken", errNoPort, blocks, lowestPort, highestPort)
}

// address returns the next port of the block that is free, after all others had their turn.
func (b *portBlock) address() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range blockPorts - 1 {
		b.next = b.next%(blockPorts-1) + 1
		if port := b.first + b.next; isFree(port) {
			return loopback(port), nil
		}
	}
	return "", fmt.Errorf("%w from %d to %d", errNoPort, b.first, b.first+blockPorts)
}

// isFree reports whether nothing listens on a port. It binds a socket without listening: a process that is being started
// keeps a copy of each socket until it has become its program, and a copy that listens would keep the port taken.
func isFree(port int) bool {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer unix.Close(fd) //nolint:errcheck // nothing was sent on it
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return false
	}
	return unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}) == nil
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
