package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gypsumbank/deployment"
)

const (
	clockTicksPerSecond = 100
	settleDuration      = 3 * time.Second
	measurementDuration = 15 * time.Second
)

// resourceUsage is the CPU time that a process has used so far, its resident memory and the bytes that it has exchanged with
// peers.
type resourceUsage struct {
	cpuSeconds float64
	rssBytes   float64
	peerBytes  float64
}

// resourceUsage reads the CPU time and the resident memory of a process from /proc/PID/stat; fields counts from the third
// field of the file, the state.
func (p *process) resourceUsage(b *testing.B) resourceUsage {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return resourceUsage{cpuSeconds: (user + system) / clockTicksPerSecond, rssBytes: pages * float64(os.Getpagesize())}
}

var peerBytesPattern = regexp.MustCompile(`gypsumbank_peer_bytes_total\{[^}]*\} (\d+)`)

// entryResourceUsage returns the usage of the first entry, with its peer traffic from /metrics.
func (c *cluster) entryResourceUsage(b *testing.B) resourceUsage {
	b.Helper()
	used := c.entries[0].resourceUsage(b)
	for _, match := range peerBytesPattern.FindAllStringSubmatch(c.get(0, "/metrics").body, -1) {
		count, _ := strconv.ParseFloat(match[1], 64)
		used.peerBytes += count
	}
	return used
}

// BenchmarkCapacityControl measures what an entry and a sidecar use without requests, by the number of targets.
func BenchmarkCapacityControl(b *testing.B) {
	for _, targets := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			size := deployment.Small()
			size.PollInterval = time.Second
			size.ModelReplicas = targets
			size.LedgerReplicas = 1
			size.Models = 2 * targets
			c := startCluster(b, size)
			time.Sleep(settleDuration)
			entry, sidecar := c.entryResourceUsage(b), c.sidecars["model-00"].resourceUsage(b)
			time.Sleep(measurementDuration)
			entryAfter, sidecarAfter := c.entryResourceUsage(b), c.sidecars["model-00"].resourceUsage(b)
			seconds := measurementDuration.Seconds()
			b.ReportMetric((entryAfter.cpuSeconds-entry.cpuSeconds)/seconds*100, "entry-%core")
			b.ReportMetric((sidecarAfter.cpuSeconds-sidecar.cpuSeconds)/seconds*100, "sidecar-%core")
			b.ReportMetric((entryAfter.peerBytes-entry.peerBytes)/seconds, "entry-B/s")
			b.ReportMetric(entryAfter.rssBytes/(1<<20), "entry-MiB")
			b.ReportMetric(sidecarAfter.rssBytes/(1<<20), "sidecar-MiB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkCapacityRequests measures what an entry and a sidecar use for each delivered token, by the number of concurrent
// streams. The usage of one sidecar is divided by half of the tokens, as two replicas share them.
func BenchmarkCapacityRequests(b *testing.B) {
	for _, callers := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("streams=%d", callers), func(b *testing.B) {
			size := deployment.Small()
			size.Entries, size.ModelReplicas, size.LedgerReplicas, size.Models = 1, 2, 1, 2
			size.PollInterval = time.Second
			c := startCluster(b, size)
			stop := make(chan struct{})
			tokens := make(chan int, callers)
			requests := make(chan int, callers)
			for caller := range callers {
				go c.streamCompletions(stop, caller, tokens, requests)
			}
			time.Sleep(settleDuration)
			entry, sidecar := c.entryResourceUsage(b), c.sidecars["model-00"].resourceUsage(b)
			delivered := c.deliveredTokens()
			time.Sleep(measurementDuration)
			entryAfter, sidecarAfter := c.entryResourceUsage(b), c.sidecars["model-00"].resourceUsage(b)
			perSecond := (c.deliveredTokens() - delivered) / measurementDuration.Seconds()
			close(stop)
			for range callers {
				<-tokens
				<-requests
			}
			b.ReportMetric(perSecond, "tokens/s")
			b.ReportMetric((entryAfter.cpuSeconds-entry.cpuSeconds)/measurementDuration.Seconds()/perSecond*1e6, "entry-µs/token")
			b.ReportMetric((sidecarAfter.cpuSeconds-sidecar.cpuSeconds)/measurementDuration.Seconds()/perSecond*2*1e6, "sidecar-µs/token")
			b.ReportMetric((entryAfter.peerBytes-entry.peerBytes)/measurementDuration.Seconds()/perSecond, "peer-B/token")
			b.ReportMetric(entryAfter.rssBytes/(1<<20), "entry-MiB")
			b.ReportMetric(sidecarAfter.rssBytes/(1<<20), "sidecar-MiB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

var deliveredTokensPattern = regexp.MustCompile(`gypsumbank_tokens_delivered_total (\d+)`)

// deliveredTokens returns how many tokens the first entry has delivered, from /metrics.
func (c *cluster) deliveredTokens() float64 {
	match := deliveredTokensPattern.FindStringSubmatch(c.get(0, "/metrics").body)
	if match == nil {
		return 0
	}
	count, _ := strconv.ParseFloat(match[1], 64)
	return count
}

// streamCompletions sends streaming completions through the first entry one at a time until stop is closed.
func (c *cluster) streamCompletions(stop <-chan struct{}, caller int, tokens, requests chan<- int) {
	sentTokens, sentRequests := 0, 0
	defer func() {
		tokens <- sentTokens
		requests <- sentRequests
	}()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		body := fmt.Sprintf(`{"model":%q,"prompt":"%d of %d [[length=200]]","stream":true}`, deployment.ModelName(caller%c.size.Models), i, caller)
		got := c.sendRequest(0, http.MethodPost, "/v1/completions", body, "")
		sentTokens += strings.Count(got.body, "data: ")
		sentRequests++
	}
}

// BenchmarkCapacityEdit measures the time from the start of an edit until it is in force at every node, by the number of
// targets.
func BenchmarkCapacityEdit(b *testing.B) {
	for _, targets := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			size := deployment.Small()
			size.PollInterval, size.ModelReplicas, size.LedgerReplicas, size.Models = time.Second, targets, 1, 4
			c := startCluster(b, size)
			start := time.Now()
			const edits = 4
			for edit := range edits {
				c.applyList("allowances", c.allowancesWithShare(uint64(edit+1), 2+edit))
			}
			b.ReportMetric(time.Since(start).Seconds()/edits*1000, "ms/edit")
			b.ReportMetric(0, "ns/op")
		})
	}
}
