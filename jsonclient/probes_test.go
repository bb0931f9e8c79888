package jsonclient

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDeadConnectionsAreNoticedWhileIdle guards against a call that waits in vain for its answer on an idle connection that went dead without notice seconds before, when
// the process was not relied on to read.
func TestDeadConnectionsAreNoticedWhileIdle(t *testing.T) {
	const bound = 3 * time.Second // the least time without disturbance after which changes must be in force in time
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	seconds := map[int]int{unix.TCP_KEEPIDLE: 0, unix.TCP_KEEPINTVL: 0, unix.TCP_KEEPCNT: 0}
	if err := raw.Control(func(fd uintptr) {
		for option := range seconds {
			if seconds[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil {
				t.Error(err)
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
	noticed := time.Duration(seconds[unix.TCP_KEEPIDLE]+seconds[unix.TCP_KEEPINTVL]*seconds[unix.TCP_KEEPCNT]) * time.Second
	if noticed == 0 || noticed > bound {
		t.Errorf("a dead connection is noticed after %s, %s allowed", noticed, bound)
	}
}
