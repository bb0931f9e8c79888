package deployment_test

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"gypsumbank/deployment"
)

// TestAddressesDifferUntilUsed asks for addresses side by side before anything listens on them.
func TestAddressesDifferUntilUsed(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]bool{}
	var askers sync.WaitGroup
	for range 8 {
		askers.Go(func() {
			for range 20 {
				address, err := deployment.FreeAddress()
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				if seen[address] {
					t.Errorf("%s was given out twice", address)
				}
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	askers.Wait()
}

// TestAddressCanBeListenedOnWhileProcessesStart starts processes all the time: until it has become its program, a new process
// keeps copies of this one's sockets.
func TestAddressCanBeListenedOnWhileProcessesStart(t *testing.T) {
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
