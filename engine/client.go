package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"gypsumbank/jsonclient"
)

var (
	// ErrFenced reports that the engine has seen an order with a higher fencing number.
	ErrFenced = errors.New("order has an old fencing number")
	// ErrNoMemory reports that the engine refused an order that would overrun its memory.
	ErrNoMemory = errors.New("engine is out of memory")
	// ErrNotResident reports that the engine does not hold the model or adapter.
	ErrNotResident = errors.New("model is not resident")
	// ErrUnreachable reports that no connection to the engine could be made, so nothing was run.
	ErrUnreachable = errors.New("engine is unreachable")
	// ErrStreamBroken reports that a stream ended before its last token.
	ErrStreamBroken = errors.New("engine cut the stream")
)

const (
	maxLineBytes = 1 << 20
	idleConns    = 64
	idleTimeout  = 30 * time.Second
)

// Kind tells models from adapters in orders.
type Kind string

const (
	// KindModel stands for a base model.
	KindModel Kind = "model"
	// KindAdapter stands for an adapter on a base model.
	KindAdapter Kind = "adapter"
)

// Order asks the engine to load or unload a model or an adapter.
type Order struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Base    string `json:"base,omitempty"`
	Version uint32 `json:"version"`
	Bytes   uint64 `json:"bytes"`
}

// Resident is a model or adapter in the engine's memory; Loading is true until its weights are complete.
type Resident struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Version uint32 `json:"version"`
	Bytes   uint64 `json:"bytes"`
	Loading bool   `json:"loading"`
}

// State is what the engine holds now; unlike load reports it does not lag.
type State struct {
	Incarnation uint64     `json:"incarnation"`
	Fence       uint64     `json:"fence"`
	Role        string     `json:"role,omitempty"`
	MemoryBytes uint64     `json:"memory-bytes"`
	Residents   []Resident `json:"residents"`
	Violations  uint64     `json:"violations"`
}

// Request asks for tokens.
type Request struct {
	ID        string   `json:"id"`
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Prompt    string   `json:"prompt"`
	Prefix    []string `json:"prefix,omitempty"`
	MaxTokens int      `json:"max-tokens"`
	Seed      uint64   `json:"seed"`
	Priority  int      `json:"priority"`
}

// Chunk is one line of the engine's stream: a token, or the end with its reason.
type Chunk struct {
	Index        int    `json:"index"`
	Token        string `json:"token,omitempty"`
	Done         bool   `json:"done,omitempty"`
	Reason       string `json:"reason,omitempty"`
	PromptTokens int    `json:"prompt-tokens,omitempty"`
}

// Client sends orders and requests to one engine.
type Client struct {
	base   string
	orders *jsonclient.Client
	http   *http.Client
}

// New returns a client of the engine at address.
func New(address string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		base:   "http://" + address,
		orders: jsonclient.New(address),
		http:   &http.Client{Transport: transport},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.orders.Close()
	c.http.CloseIdleConnections()
}

// State returns what the engine holds.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.orders.Do(ctx, http.MethodGet, "/control/state", nil, &state)
	return state, err
}

// Fence asks the engine to refuse orders with a lower number from now on, where it checks them.
func (c *Client) Fence(ctx context.Context, number uint64) error {
	return orderError(c.orders.Do(ctx, http.MethodPost, "/control/fence", Order{Fence: number}, nil))
}

// Load orders a load and returns when it is complete; errors wrap ErrFenced or ErrNoMemory where the engine said so.
func (c *Client) Load(ctx context.Context, order Order) error {
	return orderError(c.orders.Do(ctx, http.MethodPost, "/control/load", order, nil))
}

// Unload orders an unload; errors wrap ErrFenced where the engine said so.
func (c *Client) Unload(ctx context.Context, order Order) error {
	return orderError(c.orders.Do(ctx, http.MethodPost, "/control/unload", order, nil))
}

// Cancel ends a request and returns once its place in the batch is free; one that has ended already is no error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	err := orderError(c.orders.Do(ctx, http.MethodPost, "/v1/requests/"+id+"/cancel", nil, nil))
	if errors.Is(err, ErrNotResident) {
		return nil
	}
	return err
}

// Generate runs a request and passes each chunk to emit until the last; it stops early if emit fails or ctx ends.
func (c *Client) Generate(ctx context.Context, request Request, emit func(Chunk) error) error {
	response, err := c.start(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	return readChunks(response.Body, emit)
}

func (c *Client) start(ctx context.Context, request Request) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	post.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(post)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", startError(err), err)
	}
	return response, nil
}

// startError tells a connection that was never made from one that ended before the answer.
func startError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return ErrUnreachable
	}
	return ErrStreamBroken
}

func readChunks(body io.Reader, emit func(Chunk) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal(line, &chunk); err != nil {
			return fmt.Errorf("%w: %w", ErrStreamBroken, err)
		}
		if err := emit(chunk); err != nil {
			return err
		}
		if chunk.Done {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrStreamBroken, err)
	}
	return ErrStreamBroken
}

func refusal(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	status := &jsonclient.StatusError{Status: response.StatusCode, Text: strings.TrimSpace(string(text))}
	return orderError(status)
}

func orderError(err error) error {
	var status *jsonclient.StatusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.Status {
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%w: %w", ErrFenced, err)
	case http.StatusInsufficientStorage:
		return fmt.Errorf("%w: %w", ErrNoMemory, err)
	case http.StatusNotFound:
		return fmt.Errorf("%w: %w", ErrNotResident, err)
	}
	return err
}
