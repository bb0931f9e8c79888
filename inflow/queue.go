package inflow

import (
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// arrivalTime is the time in which a link carries what is on its way at most, so that reads of the routes behind it are in time.
	arrivalTime = 250 * time.Millisecond
	// requestBytes is the length of a usual request with its body.
	requestBytes = 4 << 10
	// minQueue leaves room for callers that connect at the same moment, maxQueue is the system's usual bound.
	minQueue    = 32
	maxQueue    = 4096
	bitsPerByte = 8
)

// Queue is the number of connections that may be open without having sent their request.
type Queue struct {
	connections int
}

// New returns the queue of a link of so many megabits a second; as long as the system allows if that is 0, not known.
func New(linkMbps float64) Queue {
	if linkMbps <= 0 {
		return Queue{maxQueue}
	}
	return Queue{min(maxQueue, max(minQueue, int(linkMbps*1e6/bitsPerByte*arrivalTime.Seconds()/requestBytes)))}
}

// Connections returns the number of connections.
func (q Queue) Connections() int { return q.connections }

// Kept returns the number of open connections up to which idle ones are kept: each of them may send a request at any time, and the link carries these within a second.
func (q Queue) Kept() int { return int(time.Second/arrivalTime) * q.connections }

// Listen returns a listener at an IP address with a port, whose system queue holds so many connections that have not been accepted. The system has callers beyond these
// try again; what they want to send is not on its way meanwhile. With net.Listen the queue holds thousands.
func (q Queue) Listen(address string) (net.Listener, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	family, bindTo := socketAddress(addr)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	file := os.NewFile(uintptr(fd), "listener "+address)
	defer func() { _ = file.Close() }() // the listener has a descriptor of its own
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(fd, bindTo); err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, os.NewSyscallError("bind", err))
	}
	if err := unix.Listen(fd, q.connections); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(file)
}

// socketAddress returns the family and the address of a socket; of all addresses if it names none.
func socketAddress(addr *net.TCPAddr) (family int, bindTo unix.Sockaddr) {
	if ip := addr.IP.To4(); ip != nil {
		return unix.AF_INET, &unix.SockaddrInet4{Port: addr.Port, Addr: [net.IPv4len]byte(ip)}
	}
	all := &unix.SockaddrInet6{Port: addr.Port}
	if len(addr.IP) == net.IPv6len {
		all.Addr = [net.IPv6len]byte(addr.IP)
	}
	return unix.AF_INET6, all
}
