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

func start(t *testing.T, config engine.Config) (*engine.Server, *client.Client, string) {
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

func config() engine.Config {
	return engine.Config{
		MemoryBytes: 25, Slots: 8, StepBase: 4 * time.Millisecond, StepPerSequence: 2 * time.Millisecond,
		PrefillPerToken: time.Millisecond, CacheBlocks: 16, ChecksFence: true, RestartTime: 100 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, EventLag: 100 * time.Millisecond, LostEventsPerMille: 300, Seed: 1,
	}
}

// generate runs a request and returns its tokens and the times to the first and the last.
func generate(ctx context.Context, c *client.Client, request client.Request) (tokens []string, first, whole time.Duration, err error) {
	began := time.Now()
	err = c.Generate(ctx, request, func(chunk client.Chunk) error {
		if chunk.Done {
			return nil
		}
		if len(tokens) == 0 {
			first = time.Since(began)
		}
		tokens = append(tokens, chunk.Token)
		return nil
	})
	return tokens, first, time.Since(began), err
}

func call(t *testing.T, method, url string, body []byte) []byte {
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
		t.Fatalf("%s: status %d, %v", url, response.StatusCode, err)
	}
	return answer
}

func TestLargerBatchesAreSlower(t *testing.T) {
	_, c, _ := start(t, config())
	_, _, alone, err := generate(t.Context(), c, client.Request{ID: "alone", Model: "m@1", Prompt: "[[length=30]]"})
	if err != nil {
		t.Fatal(err)
	}
	var others sync.WaitGroup
	times := make([]time.Duration, 8)
	for i := range times {
		others.Go(func() {
			request := client.Request{ID: fmt.Sprint(i), Model: "m@1", Prompt: "[[length=30]]"}
			_, _, times[i], _ = generate(t.Context(), c, request)
		})
	}
	others.Wait()
	for i, whole := range times {
		if whole < 2*alone {
			t.Errorf("request %d of 8 took %s, one alone %s", i, whole, alone)
		}
	}
}

func TestKVCacheMovesBetweenEngines(t *testing.T) {
	_, from, fromURL := start(t, config())
	_, to, toURL := start(t, config())
	request := client.Request{ID: "moves", Model: "m@1", Prompt: "[[length=200]]", Seed: 3}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _, _, _ = generate(ctx, from, request) }()
	time.Sleep(400 * time.Millisecond)
	exported := call(t, http.MethodPost, fromURL+"/v1/requests/moves/export", nil)
	cancel()
	var moved client.Request
	if err := json.Unmarshal(exported, &moved); err != nil {
		t.Fatal(err)
	}
	if len(moved.Prefix) < 10 {
		t.Fatalf("%d tokens exported", len(moved.Prefix))
	}
	call(t, http.MethodPost, toURL+"/v1/requests/moves/import", exported)
	rest, first, _, err := generate(t.Context(), to, moved)
	if err != nil {
		t.Fatal(err)
	}
	if len(moved.Prefix)+len(rest) != 200 || rest[0] != engine.Token(request, len(moved.Prefix)) {
		t.Errorf("%d tokens before the move and %d after", len(moved.Prefix), len(rest))
	}
	moved.ID = "without-import"
	_, again, _, err := generate(t.Context(), to, moved)
	if err != nil {
		t.Fatal(err)
	}
	if first >= again {
		t.Errorf("the first token took %s with the imported cache and %s without", first, again)
	}
}

func TestOrders(t *testing.T) {
	tests := map[string]struct {
		order      client.Order
		want       error
		violations uint64
	}{
		"fits":                {client.Order{Name: "n", Version: 1, Bytes: 15, Fence: 2}, nil, 0},
		"overruns the memory": {client.Order{Name: "n", Version: 1, Bytes: 16, Fence: 2}, client.ErrNoMemory, 1},
		"old fencing number":  {client.Order{Name: "n", Version: 1, Bytes: 1, Fence: 0}, client.ErrFenced, 0},
		"held already":        {client.Order{Name: "m", Version: 1, Bytes: 10, Fence: 2}, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, c, _ := start(t, config())
			if err := c.Load(t.Context(), test.order); !errors.Is(err, test.want) {
				t.Errorf("%v, want %v", err, test.want)
			}
			if server.Violations() != test.violations {
				t.Errorf("%d violations", server.Violations())
			}
		})
	}
}

func TestCrashLosesStateAndConnections(t *testing.T) {
	server, c, _ := start(t, config())
	broken := make(chan error, 1)
	go func() {
		_, _, _, err := generate(t.Context(), c, client.Request{ID: "innocent", Model: "m@1", Prompt: "[[length=500]]"})
		broken <- err
	}()
	time.Sleep(200 * time.Millisecond)
	_, _, _, err := generate(t.Context(), c, client.Request{ID: "guilty", Model: "m@1", Prompt: "[[crash]]"})
	if err == nil || <-broken == nil || server.Crashes() != 1 {
		t.Errorf("%v, %d crashes", err, server.Crashes())
	}
	state, err := c.State(t.Context())
	for deadline := time.Now().Add(5 * time.Second); err != nil && time.Now().Before(deadline); {
		time.Sleep(50 * time.Millisecond)
		state, err = c.State(t.Context())
	}
	if err != nil || len(state.Residents) != 0 {
		t.Errorf("after the restart: %+v, %v", state, err)
	}
}
