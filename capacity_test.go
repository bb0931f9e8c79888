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
	settleTime          = 3 * time.Second
	measureTime         = 15 * time.Second
)

// consumption is what a process has used so far.
type consumption struct {
	cpuSeconds float64
	rssBytes   float64
	peerBytes  float64
}

func (p *process) cpuAndMemory(b *testing.B) consumption {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return consumption{cpuSeconds: (user + system) / clockTicksPerSecond, rssBytes: pages * float64(os.Getpagesize())}
}

var peerBytes = regexp.MustCompile(`gypsumbank_peer_bytes_total\{[^}]*\} (\d+)`)

func (c *cluster) entryUsage(b *testing.B) consumption {
	b.Helper()
	used := c.entries[0].cpuAndMemory(b)
	for _, match := range peerBytes.FindAllStringSubmatch(c.get(0, "/metrics").text, -1) {
		count, _ := strconv.ParseFloat(match[1], 64)
		used.peerBytes += count
	}
	return used
}

// BenchmarkCapacityControl measures an entry and a sidecar without any requests, over the number of targets.
func BenchmarkCapacityControl(b *testing.B) {
	for _, targets := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			size := deployment.Small()
			size.PollInterval = time.Second
			size.ModelReplicas = targets
			size.LedgerReplicas = 1
			size.Models = 2 * targets
			c := startCluster(b, size)
			time.Sleep(settleTime)
			entry, sidecar := c.entryUsage(b), c.sidecars["model-00"].cpuAndMemory(b)
			time.Sleep(measureTime)
			entryAfter, sidecarAfter := c.entryUsage(b), c.sidecars["model-00"].cpuAndMemory(b)
			seconds := measureTime.Seconds()
			b.ReportMetric((entryAfter.cpuSeconds-entry.cpuSeconds)/seconds*100, "entry-%core")
			b.ReportMetric((sidecarAfter.cpuSeconds-sidecar.cpuSeconds)/seconds*100, "sidecar-%core")
			b.ReportMetric((entryAfter.peerBytes-entry.peerBytes)/seconds, "entry-B/s")
			b.ReportMetric(entryAfter.rssBytes/(1<<20), "entry-MiB")
			b.ReportMetric(sidecarAfter.rssBytes/(1<<20), "sidecar-MiB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkCapacityRequests measures an entry and a sidecar over the rate of tokens.
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
				go c.stream(stop, caller, tokens, requests)
			}
			time.Sleep(settleTime)
			entry, sidecar := c.entryUsage(b), c.sidecars["model-00"].cpuAndMemory(b)
			delivered := c.delivered()
			time.Sleep(measureTime)
			entryAfter, sidecarAfter := c.entryUsage(b), c.sidecars["model-00"].cpuAndMemory(b)
			perSecond := (c.delivered() - delivered) / measureTime.Seconds()
			close(stop)
			for range callers {
				<-tokens
				<-requests
			}
			b.ReportMetric(perSecond, "tokens/s")
			b.ReportMetric((entryAfter.cpuSeconds-entry.cpuSeconds)/measureTime.Seconds()/perSecond*1e6, "entry-µs/token")
			b.ReportMetric((sidecarAfter.cpuSeconds-sidecar.cpuSeconds)/measureTime.Seconds()/perSecond*2*1e6, "sidecar-µs/token")
			b.ReportMetric((entryAfter.peerBytes-entry.peerBytes)/measureTime.Seconds()/perSecond, "peer-B/token")
			b.ReportMetric(entryAfter.rssBytes/(1<<20), "entry-MiB")
			b.ReportMetric(sidecarAfter.rssBytes/(1<<20), "sidecar-MiB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

var deliveredTokens = regexp.MustCompile(`gypsumbank_tokens_delivered_total (\d+)`)

func (c *cluster) delivered() float64 {
	match := deliveredTokens.FindStringSubmatch(c.get(0, "/metrics").text)
	if match == nil {
		return 0
	}
	count, _ := strconv.ParseFloat(match[1], 64)
	return count
}

func (c *cluster) stream(stop <-chan struct{}, caller int, tokens, requests chan<- int) {
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
		got := c.ask(0, http.MethodPost, "/v1/completions", body, "")
		sentTokens += strings.Count(got.text, "data: ")
		sentRequests++
	}
}

// BenchmarkCapacityEdit measures the time from the start of an edit to its being in force at every node.
func BenchmarkCapacityEdit(b *testing.B) {
	for _, targets := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			size := deployment.Small()
			size.PollInterval, size.ModelReplicas, size.LedgerReplicas, size.Models = time.Second, targets, 1, 4
			c := startCluster(b, size)
			start := time.Now()
			const edits = 4
			for edit := range edits {
				c.apply("allowances", c.withShare(uint64(edit+1), 2+edit))
			}
			b.ReportMetric(time.Since(start).Seconds()/edits*1000, "ms/edit")
			b.ReportMetric(0, "ns/op")
		})
	}
}
