package completion

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by all errors about the body of a request.
var ErrInvalid = errors.New("invalid request")

const (
	maxTokensBound   = 1 << 20 // highest accepted max_tokens
	defaultMaxTokens = 1024
)

// Request is a parsed and checked request for a completion.
type Request struct {
	chat         bool
	model        string
	prompt       string
	maxTokens    int
	seed         uint64
	hasSeed      bool
	stream       bool
	includeUsage bool
}

type requestBody struct {
	Model               string           `json:"model"`
	Messages            []requestMessage `json:"messages"`
	Prompt              json.RawMessage  `json:"prompt"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	Seed                *int64           `json:"seed"`
	N                   *int             `json:"n"`
	Stream              bool             `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type requestMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// New parses the body of a request. It reads the messages if chat is set and the prompt otherwise. Errors wrap
// ErrInvalid.
func New(data []byte, chat bool) (*Request, error) {
	var parsed requestBody
	if err := json.Unmarshal(data, &parsed); err != nil {
		return nil, fmt.Errorf("%w: the body is not valid JSON: %w", ErrInvalid, err)
	}
	if parsed.Model == "" {
		return nil, fmt.Errorf("%w: model is missing", ErrInvalid)
	}
	if parsed.N != nil && *parsed.N != 1 {
		return nil, fmt.Errorf("%w: n must be 1", ErrInvalid)
	}
	request := &Request{chat: chat, model: parsed.Model, stream: parsed.Stream, includeUsage: parsed.StreamOptions.IncludeUsage}
	if err := request.setMaxTokens(parsed); err != nil {
		return nil, err
	}
	if parsed.Seed != nil {
		request.seed, request.hasSeed = uint64(*parsed.Seed), true
	}
	var err error
	if chat {
		request.prompt, err = chatPrompt(parsed.Messages)
	} else {
		request.prompt, err = textPrompt(parsed.Prompt)
	}
	return request, err
}

// Chat reports whether the request is for a chat completion.
func (r *Request) Chat() bool { return r.chat }

// Model returns the name of the requested model or adapter.
func (r *Request) Model() string { return r.model }

// Prompt returns the prompt for the engine; for a chat, it is made of all messages.
func (r *Request) Prompt() string { return r.prompt }

// MaxTokens returns the highest number of tokens to generate.
func (r *Request) MaxTokens() int { return r.maxTokens }

// Seed returns the sampling seed and whether the caller set one.
func (r *Request) Seed() (seed uint64, given bool) { return r.seed, r.hasSeed }

// Stream reports whether the answer is streamed.
func (r *Request) Stream() bool { return r.stream }

// setMaxTokens takes the limit from max_completion_tokens, or else from max_tokens, or else from the default.
func (r *Request) setMaxTokens(parsed requestBody) error {
	r.maxTokens = defaultMaxTokens
	for _, given := range []*int{parsed.MaxTokens, parsed.MaxCompletionTokens} {
		if given == nil {
			continue
		}
		if *given < 1 || *given > maxTokensBound {
			return fmt.Errorf("%w: max_tokens must be from 1 to %d", ErrInvalid, maxTokensBound)
		}
		r.maxTokens = *given
	}
	return nil
}

// chatPrompt joins the messages to one prompt, each with its role in front and a line break at the end.
func chatPrompt(messages []requestMessage) (string, error) {
	if len(messages) == 0 {
		return "", fmt.Errorf("%w: messages is missing or empty", ErrInvalid)
	}
	var prompt strings.Builder
	for i, m := range messages {
		if m.Role == "" {
			return "", fmt.Errorf("%w: messages[%d].role is missing", ErrInvalid, i)
		}
		text, err := contentText(m.Content)
		if err != nil {
			return "", fmt.Errorf("%w: messages[%d].content: %w", ErrInvalid, i, err)
		}
		prompt.WriteString(m.Role + ": " + text + "\n")
	}
	return prompt.String(), nil
}

// contentText returns the text of a message's content, which is null, a string or an array of text parts.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("must be a string or an array of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("parts of type %q are not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	return joined.String(), nil
}

// textPrompt returns the prompt of a text completion, which is a string or an array of one string.
func textPrompt(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && len(raw) > 0 {
		return text, nil
	}
	var prompts []string
	if json.Unmarshal(raw, &prompts) == nil && len(prompts) == 1 {
		return prompts[0], nil
	}
	return "", fmt.Errorf("%w: prompt must be a string", ErrInvalid)
}
