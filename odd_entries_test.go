package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gypsumbank/deployment"
	"gypsumbank/standin/site"
)

// oddDeployment is a gateway and an agent as processes, before a store in which another writer leaves odd entries.
type oddDeployment struct {
	t       *testing.T
	store   *site.Store
	address string
	nextID  int
}

// newOddDeployment starts the processes with one plain target, p1, and one engine.
func newOddDeployment(t *testing.T) (d *oddDeployment, processes []*process) {
	d = &oddDeployment{t: t, store: site.NewStore()}
	t.Cleanup(d.store.Close)
	const engineHost = "127.0.0.177"
	engine := site.NewTargetAt(engineHost+":0", "e1", site.EventStream(3, 0, 0))
	t.Cleanup(engine.Close)
	engine.Load("m1")
	d.store.Put("op", "config", stopRoutes())
	d.store.Put("servers", "e1", engine.RegistryEntry("engine", "ready"))
	d.addTarget("p1")
	addresses := make([]string, 3)
	for i := range addresses {
		address, err := deployment.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = address
	}
	d.address = addresses[0]
	_, agentPort, _ := net.SplitHostPort(addresses[2])
	settings := map[string]string{
		"agent": fmt.Sprintf("[agent]\nlisten = %s:%s\ntarget = %s\nservice = engine\n", engineHost, agentPort, engine.Address()),
		"gateway": fmt.Sprintf("[gateway]\nlisten = %s\nready = %s\nagent-port = %s\ngrace = 1s\n",
			d.address, addresses[1], agentPort),
	}
	for _, role := range []string{"agent", "gateway"} {
		path := filepath.Join(t.TempDir(), role+".ini")
		text := fmt.Sprintf("[node]\nname = %s-1\navailability-zone = zone-a\n[log]\nformat = json\n[store]\naddress = %s\n%s", role, d.store.Address(), settings[role])
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		processes = append(processes, startProcess(t, role, role, "--config="+path))
	}
	return d, processes
}

// addTarget starts and registers a plain target that answers with its id.
func (d *oddDeployment) addTarget(id string) {
	target := site.NewTarget(id, site.TextResponse(http.StatusOK, id))
	d.t.Cleanup(target.Close)
	d.store.Put("servers", id, target.RegistryEntry("plain", "ready"))
}

// get returns the body of the answer to a request, or what went wrong.
func (d *oddDeployment) get() string {
	d.nextID++
	request, _ := http.NewRequest(http.MethodGet, "http://"+d.address+stopKinds["safe"].path+"x", nil)
	request.Host = "callers.example"
	request.Header.Set("X-Gypsumbank-Request-Id", fmt.Sprint("r", d.nextID))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Sprint(response.Status, err)
	}
	return string(body)
}

// waitFor waits until requests are answered by wanted alone.
func (d *oddDeployment) waitFor(when string, timeout time.Duration, wanted string) {
	d.t.Helper()
	const requests = 24
	for end := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		answers := map[string]int{}
		for range requests {
			answers[d.get()]++
		}
		if answers[wanted] == requests {
			return
		}
		if time.Now().After(end) {
			d.t.Fatalf("%s: answers %.500q, want %s", when, fmt.Sprint(answers), wanted)
		}
	}
}

// TestProcessesLiveBesideOddEntries has another writer leave odd entries of all kinds in the registry. The processes must go on to run
// and to follow the registry, with the memory that they have, and must end well when asked to.
func TestProcessesLiveBesideOddEntries(t *testing.T) {
	const startTime, readTime, followTime, stopTime = 5 * time.Second, time.Second, 5 * time.Second, 5 * time.Second
	d, processes := newOddDeployment(t)
	d.waitFor("at the start", startTime, "p1")
	decoy := site.NewTarget("decoy", site.TextResponse(http.StatusOK, "decoy"))
	t.Cleanup(decoy.Close)
	for _, service := range []string{"plain", "engine"} {
		d.store.PutOddEntries("odd, "+service+", ", decoy.RegistryEntry(service, "ready"))
	}
	large := site.OddEntries(decoy.RegistryEntry("plain", "ready"))
	for _, kind := range []string{"value is a nested list", "address is deeply nested", "zone is very long"} {
		d.store.PutOdd("large, "+kind, large[kind])
	}
	time.Sleep(readTime)
	d.addTarget("p2")
	d.store.Remove("servers", "p1")
	d.waitFor("p2 registers after the odd entries, p1 leaves", followTime, "p2")
	d.addTarget("p3")
	d.store.Remove("servers", "p2")
	d.waitFor("p3 registers, p2 leaves", followTime, "p3")
	if n := len(decoy.Requests()); n > 0 {
		t.Errorf("%d requests went to the address of the odd entries", n)
	}
	for _, p := range processes {
		select {
		case <-p.exited:
			t.Errorf("%s has ended: %v", p.name, p.exitErr)
			continue
		default:
		}
		p.signal(syscall.SIGTERM)
		select {
		case <-p.exited:
			if p.exitErr != nil {
				t.Errorf("%s: %v", p.name, p.exitErr)
			}
		case <-time.After(stopTime):
			t.Errorf("%s has not ended %s after the signal", p.name, stopTime)
		}
	}
}
