package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	progressEvery = time.Second
	idlePerHost   = 256
	extraTime     = 30 * time.Second // time after the last request for answers to end
)

// ErrNoTargets reports that a plan slows targets that this program did not start.
var ErrNoTargets = errors.New("the experiment slows targets, so it needs --deployment")

// result is what one caller saw.
type result struct {
	shot       shot
	firstToken time.Duration // since the planned start
	whole      time.Duration // since the planned start
	gaps       []time.Duration
	tokens     int
	status     int
	outcome    string
	err        error
}

// Run sends the requests of a plan to the entries in turn and writes its progress; lateness in sending counts as
// latency. It calls slow with the factor and back with 1 where the plan slows targets.
func (p *Plan) Run(ctx context.Context, entries []string, slow func(part, factor float64), progress io.Writer) (*Report, error) {
	shots := p.schedule()
	ctx, cancel := context.WithTimeout(ctx, p.Duration+extraTime)
	defer cancel()
	if p.Slow != nil {
		if slow == nil {
			return nil, ErrNoTargets
		}
		go p.Slow.run(ctx, slow)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}}
	results := make(chan result, len(shots))
	start := time.Now()
	var sent sync.WaitGroup
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		showProgress(ctx, progress, results, len(shots))
	}()
	for i, s := range shots {
		if !waitUntil(ctx, start.Add(s.at)) {
			break
		}
		sent.Add(1)
		go func() {
			defer sent.Done()
			results <- send(ctx, client, entries[i%len(entries)], s, start.Add(s.at))
		}()
	}
	sent.Wait()
	cancel()
	<-reported
	close(results)
	var all []result
	for r := range results {
		all = append(all, r)
	}
	return p.report(all), nil
}

func (s *Slow) run(ctx context.Context, slow func(part, factor float64)) {
	start := time.Now()
	if !waitUntil(ctx, start.Add(s.Start)) {
		return
	}
	slow(s.Part, s.Factor)
	waitUntil(ctx, start.Add(s.Start+s.Length))
	slow(s.Part, 1)
}

func showProgress(ctx context.Context, progress io.Writer, results chan result, total int) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fmt.Fprintf(progress, "%d of %d answered\n", len(results), total)
		}
	}
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func send(ctx context.Context, client *http.Client, entry string, s shot, planned time.Time) result {
	r := result{shot: s}
	request, err := buildRequest(ctx, entry, s)
	if err != nil {
		r.err = err
		return r
	}
	response, err := client.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	r.outcome = response.Header.Get("Gypsumbank-Outcome")
	if s.traffic.Kind == "event" || response.StatusCode != http.StatusOK {
		_, r.err = io.Copy(io.Discard, response.Body)
	} else {
		r.err = r.readStream(response.Body, planned)
	}
	r.whole = time.Since(planned)
	return r
}

func buildRequest(ctx context.Context, entry string, s shot) (*http.Request, error) {
	path := "/v1/completions"
	body, err := json.Marshal(map[string]any{"model": s.model, "prompt": s.prompt, "stream": true, "max_tokens": maxTokens})
	if s.traffic.Kind == "event" {
		path = "/services/" + s.traffic.Service + "/events"
		body, err = json.Marshal(map[string]any{"id": s.event})
	}
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+s.traffic.Key)
	request.Header.Set("Content-Type", "application/json")
	if s.traffic.Kind == "event" {
		request.Header["Idempotency-Key"] = []string{s.event}
	}
	return request, nil
}

func (r *result) readStream(body io.Reader, planned time.Time) error {
	scanner := bufio.NewScanner(body)
	last := time.Time{}
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		if strings.HasPrefix(data, `{"error"`) {
			return fmt.Errorf("answer broken off: %s", data)
		}
		now := time.Now()
		if last.IsZero() {
			r.firstToken = now.Sub(planned)
		} else {
			r.gaps = append(r.gaps, now.Sub(last))
		}
		last = now
		r.tokens++
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("answer broken off: %w", err)
	}
	return io.ErrUnexpectedEOF
}
