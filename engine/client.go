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
	// ErrFenced is returned if the engine has already seen a higher fencing token than that of the order.
	ErrFenced = errors.New("order has an old fencing number")
	// ErrNoMemory is returned if the engine refused an order because it would exceed its memory.
	ErrNoMemory = errors.New("engine is out of memory")
	// ErrNotResident is returned if the engine does not hold the model or adapter, or does not know the request.
	ErrNotResident = errors.New("model is not resident")
	// ErrUnreachable is returned if no connection to the engine could be opened, so the request was not run.
	ErrUnreachable = errors.New("engine is unreachable")
	// ErrStreamBroken is returned if the connection or the stream ended before the last chunk, or if a chunk was malformed.
	ErrStreamBroken = errors.New("engine cut the stream")
)

const (
	// maxLineBytes bounds a line of a stream, which holds one token. A faulty engine may send one without an end on each stream.
	maxLineBytes = 64 << 10
	maxIdleConns = 64
	// maxControlBytes and maxHeadBytes bound the answers to orders and questions, and the head of a stream.
	maxControlBytes = 1 << 20
	maxHeadBytes    = 32 << 10
	idleConnTimeout = 30 * time.Second
	// maxTextBytes and textTime bound the text of a refusal, which only explains it.
	maxTextBytes = 512
	textTime     = 100 * time.Millisecond
)

// Kind says whether an order or a resident concerns a model or an adapter.
type Kind string

const (
	// KindModel is a base model.
	KindModel Kind = "model"
	// KindAdapter is an adapter on a base model.
	KindAdapter Kind = "adapter"
)

// Order is a command to load or unload a model or an adapter, or to raise the fencing token.
type Order struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Base    string `json:"base,omitempty"`
	Version uint32 `json:"version"`
	Bytes   uint64 `json:"bytes"`
}

// Resident is a model or an adapter in the engine's memory. Loading is true until its weights are completely loaded.
type Resident struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Version uint32 `json:"version"`
	Bytes   uint64 `json:"bytes"`
	Loading bool   `json:"loading"`
}

// State is the engine's current state. Unlike the engine's load reports, it does not lag.
type State struct {
	Incarnation uint64     `json:"incarnation"`
	Fence       uint64     `json:"fence"`
	Role        string     `json:"role,omitempty"`
	MemoryBytes uint64     `json:"memory-bytes"`
	Residents   []Resident `json:"residents"`
	Violations  uint64     `json:"violations"`
}

// Request is a request to generate tokens.
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

// Chunk is an event of the engine's stream: a token, or with Done set the end of the stream and its reason.
type Chunk struct {
	Index        int    `json:"index"`
	Token        string `json:"token,omitempty"`
	Done         bool   `json:"done,omitempty"`
	Reason       string `json:"reason,omitempty"`
	PromptTokens int    `json:"prompt-tokens,omitempty"`
}

// Client sends orders and requests to an engine.
type Client struct {
	baseURL    string
	control    *jsonclient.Client
	generation *http.Client
}

// New returns a client for the engine at address.
func New(address string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{
		baseURL:    "http://" + address,
		control:    jsonclient.New(address, maxControlBytes),
		generation: &http.Client{Transport: transport, CheckRedirect: keepRedirect},
	}
}

// keepRedirect has a redirect returned as the answer. An engine runs a request itself or refuses it.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() {
	c.control.Close()
	c.generation.CloseIdleConnections()
}

// State fetches the engine's current state.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.control.Do(ctx, http.MethodGet, "/control/state", nil, &state)
	return state, err
}

// Fence raises the engine's fencing token: an engine that checks tokens refuses orders with a lower one from then on.
func (c *Client) Fence(ctx context.Context, token uint64) error {
	return wrapStatusError(c.control.Do(ctx, http.MethodPost, "/control/fence", Order{Fence: token}, nil))
}

// Load sends an order to load and returns when the load is complete; the error wraps ErrFenced or ErrNoMemory if the engine
// refused the order for that reason.
func (c *Client) Load(ctx context.Context, order Order) error {
	return wrapStatusError(c.control.Do(ctx, http.MethodPost, "/control/load", order, nil))
}

// Unload sends an order to unload; the error wraps ErrFenced if the engine refused the order for that reason.
func (c *Client) Unload(ctx context.Context, order Order) error {
	return wrapStatusError(c.control.Do(ctx, http.MethodPost, "/control/unload", order, nil))
}

// Cancel stops a request and returns when its slot in the batch is free. It returns nil for a request that has already
// ended.
func (c *Client) Cancel(ctx context.Context, id string) error {
	err := wrapStatusError(c.control.Do(ctx, http.MethodPost, "/v1/requests/"+id+"/cancel", nil, nil))
	if errors.Is(err, ErrNotResident) {
		return nil
	}
	return err
}

// Generate runs a request and calls emit for each chunk up to the last one. It stops early if emit fails or ctx ends.
func (c *Client) Generate(ctx context.Context, request Request, emit func(Chunk) error) error {
	response, err := c.sendGenerate(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusalError(response)
	}
	return readChunks(response.Body, emit)
}

func (c *Client) sendGenerate(ctx context.Context, request Request) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.generation.Do(httpRequest)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", classifySendError(err), err)
	}
	return response, nil
}

// classifySendError returns ErrUnreachable if no connection was opened, and ErrStreamBroken if it ended before the answer.
func classifySendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return ErrUnreachable
	}
	return ErrStreamBroken
}

// readChunks calls emit for each chunk in body, a stream of server-sent events, up to the last one.
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

// refusalError returns the error for an answer whose status is not 200.
func refusalError(response *http.Response) error {
	timer := time.AfterFunc(textTime, func() { _ = response.Body.Close() }) // ends the read
	defer timer.Stop()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxTextBytes))
	statusErr := &jsonclient.StatusError{Status: response.StatusCode, Text: strings.TrimSpace(string(text))}
	return wrapStatusError(statusErr)
}

// wrapStatusError wraps err in the error of this package that belongs to its HTTP status, if there is one.
func wrapStatusError(err error) error {
	var statusErr *jsonclient.StatusError
	if !errors.As(err, &statusErr) {
		return err
	}
	switch statusErr.Status {
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%w: %w", ErrFenced, err)
	case http.StatusInsufficientStorage:
		return fmt.Errorf("%w: %w", ErrNoMemory, err)
	case http.StatusNotFound:
		return fmt.Errorf("%w: %w", ErrNotResident, err)
	}
	return err
}
