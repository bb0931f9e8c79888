package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"gypsumbank/standin/fault"
)

// allowancesWithShare returns the initial allowances as an edit of baseVersion, with a share that identifies the edit.
func (c *cluster) allowancesWithShare(baseVersion uint64, share int) string {
	text := strings.Replace(c.size.Allowances(), "share = 1", fmt.Sprintf("share = %d", share), 1)
	return strings.Replace(text, "version = 0", fmt.Sprintf("version = %d", baseVersion), 1)
}

// refusesBlend00 reports whether an entry refuses model blend-00, which the edit of the test removes from the plan.
func (c *cluster) refusesBlend00(entry int) bool {
	response := c.sendRequest(entry, http.MethodPost, "/v1/completions", `{"model":"blend-00","prompt":"x","max_tokens":1}`, "")
	return response.status == http.StatusNotFound
}

// allowancesForModel returns the initial allowances as an edit of baseVersion, with a plan that allows only model.
func (c *cluster) allowancesForModel(baseVersion uint64, model string) string {
	text := strings.Replace(c.size.Allowances(), "models = *", "models = "+model, 1)
	return strings.Replace(text, "version = 0", fmt.Sprintf("version = %d", baseVersion), 1)
}

// editInput is an edit of a version of the list, or a read of the list if share is 0.
type editInput struct {
	baseVersion uint64
	share       int
}

// editOutput is the result of a read (version and share) or of an edit (accepted). With outcomeKnown unset, the read failed
// or the command did not report whether the edit was accepted.
type editOutput struct {
	accepted     bool
	outcomeKnown bool
	version      uint64
	share        int
}

// listState is the state of the list in the sequential model.
type listState struct {
	version uint64
	share   int
}

// listModel returns the sequential model of a list with compare-and-swap: an edit takes effect only if the list still has the
// version that the edit is based on.
func listModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return listState{version: 1, share: 1} },
		Step: func(state, input, output any) (bool, any) {
			list, edit, result := state.(listState), input.(editInput), output.(editOutput)
			if edit.share == 0 {
				return !result.outcomeKnown || (result.version == list.version && result.share == list.share), list
			}
			versionMatches := edit.baseVersion == list.version
			if result.outcomeKnown && result.accepted != versionMatches {
				return false, list
			}
			if versionMatches {
				return true, listState{version: list.version + 1, share: edit.share}
			}
			return true, list
		},
	}
}

// TestConcurrentEditsAreLinearizable checks that no accepted edit is lost when operators edit one list concurrently and the
// table loses answers: the history of reads and edits must be linearizable.
func TestConcurrentEditsAreLinearizable(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoReplicaSize())
	c.setFaults("table", fault.Faults{LoseAnswer: 0.2})
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	var operators sync.WaitGroup
	for operatorID := range 4 {
		operators.Add(1)
		go func() {
			defer operators.Done()
			for editNumber := range 4 {
				for _, operation := range c.readAndEdit(operatorID, editNumber, start) {
					mu.Lock()
					history = append(history, operation)
					mu.Unlock()
				}
			}
		}()
	}
	operators.Wait()
	accepted := 0
	for _, operation := range history {
		if operation.Output.(editOutput).accepted {
			accepted++
		}
	}
	if accepted == 0 {
		t.Error("no edit was accepted")
	}
	if !porcupine.CheckOperations(listModel(), history) {
		t.Errorf("the history of the list is not linearizable: %+v", history)
	}
}

// readAndEdit reads the list and applies an edit of the version that was read. An edit with an unknown outcome may take
// effect later, so its operation returns an hour after the start.
func (c *cluster) readAndEdit(operatorID, editNumber int, start time.Time) []porcupine.Operation {
	calledAtNanos := time.Since(start).Nanoseconds()
	text, err := c.runCommand("allowances", "show", "--config="+c.operatorSettings)
	read := editOutput{outcomeKnown: err == nil}
	if err == nil {
		_, _ = fmt.Sscanf(text, "version = %d", &read.version)
		_, _ = fmt.Sscanf(text[strings.Index(text, "share"):], "share = %d", &read.share)
	}
	operations := []porcupine.Operation{{ClientId: operatorID, Input: editInput{}, Output: read, Call: calledAtNanos, Return: time.Since(start).Nanoseconds()}}
	if !read.outcomeKnown {
		return operations
	}
	share := 100 + operatorID*10 + editNumber
	path := c.writeFile(fmt.Sprintf("edit-%d-%d.ini", operatorID, editNumber), c.allowancesWithShare(read.version, share))
	calledAtNanos = time.Since(start).Nanoseconds()
	output, err := c.runCommand("allowances", "apply", "--config="+c.operatorSettings, path)
	result := editOutput{accepted: strings.Contains(output, "accepted:")}
	result.outcomeKnown = result.accepted || strings.Contains(output, "has changed since")
	if err == nil && !result.accepted {
		c.t.Errorf("apply exited without an error but did not report an accepted edit: %s", output)
	}
	returnedAtNanos := time.Since(start).Nanoseconds()
	if !result.outcomeKnown {
		returnedAtNanos = time.Hour.Nanoseconds()
	}
	return append(operations, porcupine.Operation{ClientId: operatorID, Input: editInput{baseVersion: read.version, share: share}, Output: result, Call: calledAtNanos, Return: returnedAtNanos})
}

// TestAcceptedEditIsInForceDuringTableOutage silences the table after an edit was accepted and before every entry has applied
// it. The frozen entry must apply it once it runs again, and an entry that starts during the outage must get it from a peer.
func TestAcceptedEditIsInForceDuringTableOutage(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoReplicaSize())
	c.entries[1].signal(syscall.SIGSTOP)
	applyOutput := make(chan string, 1)
	go func() {
		path := c.writeFile("edit.ini", c.allowancesForModel(1, "blend-01"))
		output, _ := c.runCommand("allowances", "apply", "--config="+c.operatorSettings, path)
		applyOutput <- output
	}()
	c.waitUntil(5*time.Second, "edit in force at the running entry", func() error {
		if !c.refusesBlend00(0) {
			return fmt.Errorf("the entry still allows a model that the edit removes")
		}
		return nil
	})
	c.setFaults("table", fault.Faults{Silent: true})
	c.entries[1].signal(syscall.SIGCONT)
	c.waitUntil(5*time.Second, "edit in force at the resumed entry", func() error {
		if !c.refusesBlend00(1) {
			return fmt.Errorf("the entry still allows a model that the edit removes")
		}
		return nil
	})
	output := <-applyOutput
	for _, zone := range c.size.Zones {
		if !strings.Contains(output, "in force in "+zone) || strings.Contains(output, "not confirmed in "+zone) {
			t.Errorf("apply did not report that the edit is in force in %s: %s", zone, output)
		}
	}

	c.entries[1].kill()
	c.entries[1] = startProcess(t, "entry-01", "entry", "--config="+c.dir+"/entry-01.ini")
	c.waitUntil(10*time.Second, "ready after a start during the table outage", func() error {
		if got := c.get(1, "/readyz"); got.status != http.StatusOK {
			return fmt.Errorf("not ready: %s", got.body)
		}
		return nil
	})
	if !c.refusesBlend00(1) {
		t.Error("an entry that started during the table outage still allows a model that the edit removed")
	}
}

// TestStaleTableReadsRevertNoEdit makes reads of the table return items from before an edit that is in force. No entry may
// return to the older list.
func TestStaleTableReadsRevertNoEdit(t *testing.T) {
	t.Parallel()
	c := startCluster(t, twoReplicaSize())
	c.sendControl(http.MethodPost, "table", "/past", []byte(`{"freeze":true}`))
	path := c.writeFile("edit.ini", c.allowancesForModel(1, "blend-01"))
	output, err := c.runCommand("allowances", "apply", "--config="+c.operatorSettings, path)
	if err != nil {
		t.Fatalf("apply the edit: %v: %s", err, output)
	}
	for range 20 {
		for entry := range 2 {
			if !c.refusesBlend00(entry) {
				t.Fatalf("entry %d returned to an older list: it allows a model that the edit removed", entry)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
