package deployment_test

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"gypsumbank/deployment"
)

// TestConcurrentFreeAddressesAreDistinct takes addresses concurrently while nothing listens on them yet. None may be
// returned twice.
func TestConcurrentFreeAddressesAreDistinct(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 20 {
				address, err := deployment.FreeAddress()
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				if seen[address] {
					t.Errorf("address %s was returned twice", address)
				}
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	callers.Wait()
}

// TestFreeAddressCanBeBoundWhileProcessesStart listens on free addresses while child processes are started. Until it
// executes its program, a child has copies of this process's sockets, and a copy that listens keeps a port in use.
func TestFreeAddressCanBeBoundWhileProcessesStart(t *testing.T) {
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := exec.Command(os.Args[0], "-test.run=^$").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 1500 {
		address, err := deployment.FreeAddress()
		if err != nil {
			t.Error(err)
			break
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			break
		}
		listener.Close()
	}
	close(stop)
	starters.Wait()
}
