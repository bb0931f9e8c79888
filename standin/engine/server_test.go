package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	client "gypsumbank/engine"
	"gypsumbank/standin/engine"
)

// startEngine starts an engine that has loaded the model m@1 with fencing number 1, and returns it with a client and
// its base URL.
func startEngine(t *testing.T, config engine.Config) (*engine.Server, *client.Client, string) {
	t.Helper()
	server := engine.New(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Start(listener)
	t.Cleanup(server.Close)
	c := client.New(listener.Addr().String())
	t.Cleanup(c.Close)
	order := client.Order{Kind: client.KindModel, Name: "m", Version: 1, Bytes: 10, Fence: 1}
	if err := c.Load(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	return server, c, "http://" + listener.Addr().String()
}

// testConfig describes an engine that has 15 bytes of memory left beside the 10 of model m.
func testConfig() engine.Config {
	return engine.Config{
		MemoryBytes: 25, Slots: 8, StepBase: 4 * time.Millisecond, StepPerSequence: 2 * time.Millisecond,
		PrefillPerToken: time.Millisecond, CacheBlocks: 16, ChecksFence: true, RestartTime: 100 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, EventLag: 100 * time.Millisecond, LostEventsPerMille: 300, Seed: 1,
	}
}

// generate runs a request and returns its tokens, the time to the first token and the time to the end of the answer.
func generate(ctx context.Context, c *client.Client, request client.Request) (tokens []string, firstToken, total time.Duration, err error) {
	started := time.Now()
	err = c.Generate(ctx, request, func(chunk client.Chunk) error {
		if chunk.Done {
			return nil
		}
		if len(tokens) == 0 {
			firstToken = time.Since(started)
		}
		tokens = append(tokens, chunk.Token)
		return nil
	})
	return tokens, firstToken, time.Since(started), err
}

// doRequest sends an HTTP request and returns the body of its response; other statuses than 2xx fail the test.
func doRequest(t *testing.T, method, url string, body []byte) []byte {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= 300 {
		t.Fatalf("call of %s: status %d, error %v", url, response.StatusCode, err)
	}
	return answer
}

func TestLargerBatchesDecodeSlower(t *testing.T) {
	_, c, _ := startEngine(t, testConfig())
	_, _, singleTime, err := generate(t.Context(), c, client.Request{ID: "alone", Model: "m@1", Prompt: "[[length=30]]"})
	if err != nil {
		t.Fatal(err)
	}
	var requests sync.WaitGroup
	times := make([]time.Duration, 8)
	for i := range times {
		requests.Go(func() {
			request := client.Request{ID: fmt.Sprint(i), Model: "m@1", Prompt: "[[length=30]]"}
			_, _, times[i], _ = generate(t.Context(), c, request)
		})
	}
	requests.Wait()
	for i, took := range times {
		if took < 2*singleTime {
			t.Errorf("request %d of 8 at once took %s, less than twice the %s of a single one", i, took, singleTime)
		}
	}
}

func TestImportedKVCacheNeedsNoPrefill(t *testing.T) {
	_, source, sourceURL := startEngine(t, testConfig())
	_, destination, destinationURL := startEngine(t, testConfig())
	request := client.Request{ID: "moves", Model: "m@1", Prompt: "[[length=200]]", Seed: 3}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _, _, _ = generate(ctx, source, request) }()
	time.Sleep(400 * time.Millisecond)
	exported := doRequest(t, http.MethodPost, sourceURL+"/v1/requests/moves/export", nil)
	cancel()
	var exportedRequest client.Request
	if err := json.Unmarshal(exported, &exportedRequest); err != nil {
		t.Fatal(err)
	}
	if len(exportedRequest.Prefix) < 10 {
		t.Fatalf("%d tokens exported, want at least 10", len(exportedRequest.Prefix))
	}
	doRequest(t, http.MethodPost, destinationURL+"/v1/requests/moves/import", exported)
	remaining, withImport, _, err := generate(t.Context(), destination, exportedRequest)
	if err != nil {
		t.Fatal(err)
	}
	if len(exportedRequest.Prefix)+len(remaining) != 200 || remaining[0] != engine.Token(request, len(exportedRequest.Prefix)) {
		t.Errorf("exported %d tokens and generated %d after the import, want 200 in all and no token repeated or skipped", len(exportedRequest.Prefix), len(remaining))
	}
	exportedRequest.ID = "without-import"
	_, withoutImport, _, err := generate(t.Context(), destination, exportedRequest)
	if err != nil {
		t.Fatal(err)
	}
	if withImport >= withoutImport {
		t.Errorf("first token after %s with the imported KV cache and %s without, want it sooner with the cache", withImport, withoutImport)
	}
}

func TestLoadOrders(t *testing.T) {
	tests := map[string]struct {
		order          client.Order
		wantErr        error
		wantViolations uint64
	}{
		"fits":               {client.Order{Name: "n", Version: 1, Bytes: 15, Fence: 2}, nil, 0},
		"exceeds the memory": {client.Order{Name: "n", Version: 1, Bytes: 16, Fence: 2}, client.ErrNoMemory, 1},
		"old fencing number": {client.Order{Name: "n", Version: 1, Bytes: 1, Fence: 0}, client.ErrFenced, 0},
		"already loaded":     {client.Order{Name: "m", Version: 1, Bytes: 10, Fence: 2}, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, c, _ := startEngine(t, testConfig())
			if err := c.Load(t.Context(), test.order); !errors.Is(err, test.wantErr) {
				t.Errorf("load: got error %v, want %v", err, test.wantErr)
			}
			if server.Violations() != test.wantViolations {
				t.Errorf("engine counts %d loads beyond its memory", server.Violations())
			}
		})
	}
}

func TestCrashLosesStateAndConnections(t *testing.T) {
	server, c, _ := startEngine(t, testConfig())
	brokenStream := make(chan error, 1)
	go func() {
		_, _, _, err := generate(t.Context(), c, client.Request{ID: "innocent", Model: "m@1", Prompt: "[[length=500]]"})
		brokenStream <- err
	}()
	time.Sleep(200 * time.Millisecond)
	_, _, _, err := generate(t.Context(), c, client.Request{ID: "guilty", Model: "m@1", Prompt: "[[crash]]"})
	if err == nil || <-brokenStream == nil || server.Crashes() != 1 {
		t.Errorf("request that crashes the engine: error %v, %d crashes; or the other request did not fail", err, server.Crashes())
	}
	state, err := c.State(t.Context())
	for deadline := time.Now().Add(5 * time.Second); err != nil && time.Now().Before(deadline); {
		time.Sleep(50 * time.Millisecond)
		state, err = c.State(t.Context())
	}
	if err != nil || len(state.Residents) != 0 {
		t.Errorf("state after the restart: %+v, error %v; want no residents", state, err)
	}
}
