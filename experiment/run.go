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
	progressInterval    = time.Second
	maxIdleConnsPerHost = 256
	finalAnswerTimeout  = 30 * time.Second // wait for outstanding answers after the duration of the plan
)

// ErrNeedsDeployment is returned for a plan with a slowdown when the targets were not started by this program, which
// then has no way to slow them.
var ErrNeedsDeployment = errors.New("the experiment slows targets, so it needs --deployment")

// result is the answer to one request as its caller saw it.
type result struct {
	request           plannedRequest
	firstTokenLatency time.Duration   // from the planned time of sending to the first token; zero without tokens
	latency           time.Duration   // from the planned time of sending to the end of the answer
	tokenGaps         []time.Duration // times between successive tokens
	tokens            int
	status            int    // HTTP status, 0 if no response came
	outcome           string // value of the header Gypsumbank-Outcome
	err               error
}

// Run sends the requests of the plan to the entries in rotation, writes the number of answers to progress every second
// and returns the report. Latency is measured from the planned time of sending, so that a request which is sent late
// counts the delay as latency. If the plan has a slowdown, Run calls slowTargets with its factor when it begins and
// with factor 1 when it ends; slowTargets is nil if the targets can't be slowed, and such a plan fails then.
func (p *Plan) Run(ctx context.Context, entryURLs []string, slowTargets func(targetShare, factor float64), progress io.Writer) (*Report, error) {
	requests := p.schedule()
	ctx, cancel := context.WithTimeout(ctx, p.Duration+finalAnswerTimeout)
	defer cancel()
	if p.Slowdown != nil {
		if slowTargets == nil {
			return nil, ErrNeedsDeployment
		}
		go p.Slowdown.apply(ctx, slowTargets)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}}
	results := make(chan result, len(requests))
	start := time.Now()
	var senders sync.WaitGroup
	progressDone := make(chan struct{})
	go func() {
		defer close(progressDone)
		showProgress(ctx, progress, results, len(requests))
	}()
	for i, planned := range requests {
		if !waitUntil(ctx, start.Add(planned.offset)) {
			break
		}
		senders.Add(1)
		go func() {
			defer senders.Done()
			results <- send(ctx, client, entryURLs[i%len(entryURLs)], planned, start.Add(planned.offset))
		}()
	}
	senders.Wait()
	cancel()
	<-progressDone
	close(results)
	var all []result
	for r := range results {
		all = append(all, r)
	}
	return p.buildReport(all), nil
}

// apply slows the targets at the planned offset and restores their speed after the slowdown's duration or when ctx
// ends.
func (s *Slowdown) apply(ctx context.Context, slowTargets func(targetShare, factor float64)) {
	start := time.Now()
	if !waitUntil(ctx, start.Add(s.Offset)) {
		return
	}
	slowTargets(s.TargetShare, s.Factor)
	waitUntil(ctx, start.Add(s.Offset+s.Duration))
	slowTargets(s.TargetShare, 1)
}

// showProgress writes the number of finished requests, failed ones included, until ctx ends. It counts the buffered
// results, which Run reads only after the last answer.
func showProgress(ctx context.Context, progress io.Writer, results chan result, total int) {
	ticker := time.NewTicker(progressInterval)
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

// waitUntil reports whether the deadline was reached before ctx ended.
func waitUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request, reads its answer to the end and measures times from scheduledAt.
func send(ctx context.Context, client *http.Client, entryURL string, planned plannedRequest, scheduledAt time.Time) result {
	r := result{request: planned}
	request, err := buildRequest(ctx, entryURL, planned)
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
	if planned.traffic.Kind == "event" || response.StatusCode != http.StatusOK {
		_, r.err = io.Copy(io.Discard, response.Body)
	} else {
		r.err = r.readStream(response.Body, scheduledAt)
	}
	r.latency = time.Since(scheduledAt)
	return r
}

// buildRequest returns a streamed completion, or a call of a service with the event's id as idempotency key.
func buildRequest(ctx context.Context, entryURL string, planned plannedRequest) (*http.Request, error) {
	path := "/v1/completions"
	body, err := json.Marshal(map[string]any{"model": planned.model, "prompt": planned.prompt, "stream": true, "max_tokens": maxAnswerTokens})
	if planned.traffic.Kind == "event" {
		path = "/services/" + planned.traffic.Service + "/events"
		body, err = json.Marshal(map[string]any{"id": planned.eventID})
	}
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entryURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+planned.traffic.APIKey)
	request.Header.Set("Content-Type", "application/json")
	if planned.traffic.Kind == "event" {
		request.Header["Idempotency-Key"] = []string{planned.eventID}
	}
	return request, nil
}

// readStream records the tokens of a streamed answer and returns an error unless the stream ends with [DONE].
func (r *result) readStream(body io.Reader, scheduledAt time.Time) error {
	scanner := bufio.NewScanner(body)
	lastTokenAt := time.Time{}
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		if strings.HasPrefix(data, `{"error"`) {
			return fmt.Errorf("answer ended with an error: %s", data)
		}
		now := time.Now()
		if lastTokenAt.IsZero() {
			r.firstTokenLatency = now.Sub(scheduledAt)
		} else {
			r.tokenGaps = append(r.tokenGaps, now.Sub(lastTokenAt))
		}
		lastTokenAt = now
		r.tokens++
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return io.ErrUnexpectedEOF
}
