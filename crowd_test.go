package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The limits that the processes of these tests have, by their settings, and the crowds that follow from them. Memory and descriptors are in the proportion of
// the smallest gateway (184 MB, 4,100 descriptors). There are a quarter more connections than places for callers, and bodies that together take several times
// the memory.
const (
	crowdMemoryMiB   = 64
	crowdDescriptors = 1400
	crowdConns       = crowdDescriptors / 2 * 5 / 4
	crowdBodyBytes   = 1 << 20
	crowdHeaderBytes = 16 << 10
)

const (
	// crowdTime bounds the time for which a crowd sends, so that a test ends on a machine that is busy.
	crowdTime = 2 * time.Second
	// ordinaryPatience is how long an ordinary caller goes on trying. It ends a test of a process that hangs and says nothing of its speed.
	ordinaryPatience = 30 * time.Second
	// oneInWhole is the part of a crowd that sends its bodies to the end: one in so many.
	oneInWhole = 4
)

// programDir is the directory of the program that buildProgram has built; empty if it has not.
var programDir string

// buildProgram builds the program without the race detector, which takes several times the memory, and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "gypsumbank-")
	if err != nil {
		return "", err
	}
	programDir = dir
	path := filepath.Join(dir, "gypsumbank")
	if output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

// startMeasuredProcess is startProcess for a process whose memory is measured.
func startMeasuredProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return startProgram(t, path, name, args...)
}

// readMemory returns a value of the memory of a process in KiB by its name in /proc/PID/status.
func (p *process) readMemory(name string) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
		}
	}
	return 0, fmt.Errorf("no %s in the status of %s", name, p.name)
}

// countDescriptors returns the number of descriptors that a process has open.
func (p *process) countDescriptors() (int, error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(open), err
}

// crowd is a number of callers that send at the same time and then stay connected.
type crowd struct {
	conns int
	// send is what one of them sends, by its number. It returns once it has sent all, or when a write fails.
	send func(conn net.Conn, number int) error
	// reads is set if they read answers; else they read nothing.
	reads bool
}

// crowdTest is a process that a crowd meets.
type crowdTest struct {
	*process
	address string
	// ordinary sends an ordinary request and returns why it was not answered as it should be.
	ordinary func() error
}

// run has a crowd send to the process, and checks with the crowd still connected that the process is alive, that its memory and open descriptors have
// stayed in their bounds, and that it answers an ordinary request.
func (c *crowdTest) run(t *testing.T, members crowd) {
	t.Helper()
	if err := c.tryOrdinary(t); err != nil {
		t.Fatalf("ordinary request before the crowd: %v", err)
	}
	mostDescriptors := c.watchDescriptors()
	until := time.Now().Add(crowdTime)
	var sending sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for i := range members.conns {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", c.address, crowdTime)
			if err != nil {
				return // a connection that is refused is allowed
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			if members.reads {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
			}
			_ = conn.SetWriteDeadline(until)
			_ = members.send(conn, i) // a refusal that closes the connection is allowed
		})
	}
	sending.Wait()
	ordinaryErr := c.tryOrdinary(t)
	most := mostDescriptors()
	select {
	case <-c.exited:
		t.Errorf("the process ended: %v", c.exitErr)
		return
	default:
	}
	peak, err := c.readMemory("VmHWM")
	if err != nil {
		t.Fatal(err)
	}
	now, _ := c.readMemory("VmRSS")
	t.Logf("memory at most %d KiB, at the end %d KiB; at most %d descriptors", peak, now, most)
	if peak > crowdMemoryMiB<<10 {
		t.Errorf("the process took up to %d KiB of memory, %d are allowed", peak, crowdMemoryMiB<<10)
	}
	if most > crowdDescriptors {
		t.Errorf("the process had up to %d descriptors open, %d are allowed", most, crowdDescriptors)
	}
	if ordinaryErr != nil {
		t.Errorf("ordinary request beside the crowd: %v", ordinaryErr)
	}
}

// watchDescriptors counts the open descriptors of the process from time to time, until the function that it returns is called for the highest count.
func (c *crowdTest) watchDescriptors() (stop func() int) {
	const interval = 20 * time.Millisecond
	stopped, most := make(chan struct{}), make(chan int)
	go func() {
		highest := 0
		for {
			if open, err := c.countDescriptors(); err == nil {
				highest = max(highest, open)
			}
			select {
			case <-stopped:
				most <- highest
				return
			case <-time.After(interval):
			}
		}
	}()
	return func() int {
		close(stopped)
		return <-most
	}
}

// tryOrdinary repeats an ordinary request until it is answered, the process has ended or the caller's patience has.
func (c *crowdTest) tryOrdinary(t *testing.T) error {
	const interval = 200 * time.Millisecond
	until := time.Now().Add(ordinaryPatience)
	failures := map[string]int{}
	defer func() {
		if len(failures) > 0 {
			t.Logf("ordinary requests that were not answered: %v", failures)
		}
	}()
	for {
		err := c.ordinary()
		if err == nil || time.Now().After(until) {
			return err
		}
		failures[err.Error()]++
		select {
		case <-c.exited:
			return errors.New("the process has ended")
		case <-time.After(interval):
		}
	}
}

// requestOnce sends a request on a connection of its own and reads the answer, which must have a status.
func requestOnce(request *http.Request, wantStatus int) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != wantStatus {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, body)
	}
	return err
}

// bodyCrowds returns the crowds that send bodies after a head, which ends before the field that frames the body. limit is the length of the longest body that
// is legal.
func bodyCrowds(head string, conns, limit int) map[string]crowd {
	whole := bytes.Repeat([]byte("x"), limit)
	withLength := func(length int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length) }
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]crowd{
		"bodies at once": {conns: conns, send: func(conn net.Conn, number int) error {
			return writeParts(conn, withLength(limit), whole[:limit-missing(number)])
		}},
		"bodies piece by piece": {conns: conns, send: func(conn net.Conn, number int) error {
			const pieceBytes, pause = 16 << 10, 5 * time.Millisecond
			if err := writeParts(conn, withLength(limit)); err != nil {
				return err
			}
			for rest := whole[:limit-missing(number)]; len(rest) > 0; rest = rest[min(len(rest), pieceBytes):] {
				if err := writeParts(conn, rest[:min(len(rest), pieceBytes)]); err != nil {
					return err
				}
				time.Sleep(pause)
			}
			return nil
		}},
		"large chunks": {conns: conns, send: func(conn net.Conn, number int) error {
			const chunks = 4
			body := bytes.Repeat(chunk(whole[:limit/chunks]), chunks)
			body = append(body, "0\r\n\r\n"...)
			return writeParts(conn, chunked, body[:len(body)-missing(number)])
		}},
		"chunks of one byte": {conns: conns, send: func(conn net.Conn, number int) error {
			const bodyBytes = 32 << 10 // a longer one takes the crowd's time for little more memory
			body := bytes.Repeat(chunk([]byte("x")), bodyBytes)
			body = append(body, "0\r\n\r\n"...)
			return writeParts(conn, chunked, body[:len(body)-missing(number)])
		}},
		"length over the limit": {conns: conns, send: func(conn net.Conn, _ int) error {
			if err := writeParts(conn, withLength(1<<30)); err != nil {
				return err
			}
			return writeOn(conn, whole)
		}},
		"chunks without end": {conns: conns, send: func(conn net.Conn, _ int) error {
			if err := writeParts(conn, chunked); err != nil {
				return err
			}
			return writeOn(conn, chunk(whole[:64<<10]))
		}},
	}
}

// connCrowds returns the crowds that send no whole head. head is the begin of one.
func connCrowds(head string, conns int) map[string]crowd {
	field := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	return map[string]crowd{
		"silent connections": {conns: conns, send: func(net.Conn, int) error { return nil }},
		"heads that stop short": {conns: conns, send: func(conn net.Conn, _ int) error {
			return writeParts(conn, head, strings.Repeat(field, (crowdHeaderBytes-len(head))/len(field)))
		}},
		"heads without end": {conns: conns, send: func(conn net.Conn, _ int) error {
			if err := writeParts(conn, head); err != nil {
				return err
			}
			return writeOn(conn, []byte(field))
		}},
	}
}

// missing returns how many bytes a member of a crowd does not send of its body.
func missing(number int) int {
	if number%oneInWhole == 0 {
		return 0
	}
	return 1
}

// chunk returns data as one chunk of a body.
func chunk(data []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(data), data) }

// writeParts writes strings or bytes one after the other.
func writeParts(conn net.Conn, parts ...any) error {
	for _, part := range parts {
		if _, err := fmt.Fprintf(conn, "%s", part); err != nil {
			return err
		}
	}
	return nil
}

// writeOn writes data until a write fails or the crowd's time is over.
func writeOn(conn net.Conn, data []byte) error {
	for {
		if _, err := conn.Write(data); err != nil {
			return err
		}
	}
}
