package main

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a process that runs a command of the program. exitErr is set before exited is closed.
type process struct {
	name    string
	cmd     *exec.Cmd
	output  *lockedBuffer
	exited  chan struct{}
	exitErr error
}

// lockedBuffer collects the output of a process; tests may read it while the process runs.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// startProcess runs a command of the program as a process, which is killed at the end of the test. The output is logged if the
// test fails.
func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	return startProgram(t, os.Args[0], name, args...)
}

// startProgram is startProcess with the path of the program.
func startProgram(t testing.TB, path, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, output: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(path, args...)
	const exitAtOnce = "GORACE=atexit_sleep_ms=0" // not a second later, as a program with the race detector does
	p.cmd.Env = append(os.Environ(), runAsProgramVariable+"=1", exitAtOnce)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.output)
		}
	})
	return p
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends a process SIGKILL and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends a process SIGTERM and returns the error of its exit. The test fails if it does not exit within timeout.
func (p *process) stop(t testing.TB, timeout time.Duration) error {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(timeout):
		t.Fatalf("%s did not exit within %s after SIGTERM", p.name, timeout)
		return nil
	}
}
