package completion

import (
	"encoding/json"
	"time"
)

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type envelope struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// NewUsage returns the usage of a request.
func NewUsage(prompt, generated int) Usage {
	return Usage{PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated}
}

// Answer returns the answer to a request that is not streamed.
func (r *Request) Answer(id, text, reason string, usage Usage) []byte {
	answer := r.envelope(id, "text_completion", "chat.completion")
	part := choice{FinishReason: &reason}
	if r.chat {
		part.Message = &content{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	answer.Choices = []choice{part}
	answer.Usage = &usage
	return encode(answer)
}

// Chunk returns one event of a streamed answer; first is set for the first.
func (r *Request) Chunk(id, text string, first bool) []byte {
	answer := r.envelope(id, "text_completion", "chat.completion.chunk")
	answer.Choices = []choice{r.delta(text, first, nil)}
	return encode(answer)
}

// LastChunk returns the last event of a streamed answer.
func (r *Request) LastChunk(id, reason string, usage Usage) []byte {
	answer := r.envelope(id, "text_completion", "chat.completion.chunk")
	answer.Choices = []choice{r.delta("", false, &reason)}
	if r.includeUsage {
		answer.Usage = &usage
	}
	return encode(answer)
}

func (r *Request) delta(text string, first bool, reason *string) choice {
	part := choice{FinishReason: reason}
	if !r.chat {
		part.Text = &text
		return part
	}
	part.Delta = &content{Content: text}
	if first {
		part.Delta.Role = "assistant"
	}
	return part
}

func (r *Request) envelope(id, text, chat string) envelope {
	object := text
	if r.chat {
		object = chat
	}
	return envelope{ID: id, Object: object, Created: time.Now().Unix(), Model: r.model}
}

// ErrorBody is an error in the shape that callers expect.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Encode returns the failure as a body.
func (f ErrorBody) Encode() []byte {
	return encode(struct {
		Error ErrorBody `json:"error"`
	}{f})
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// EncodeModelList returns the list of models and adapters; parents maps each adapter to its base.
func EncodeModelList(names []string, parents map[string]string) []byte {
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range names {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "gypsumbank", Parent: parents[name]})
	}
	return encode(list)
}

// EncodeModel returns the description of one model, with the model that it is an adapter of or "".
func EncodeModel(name, parent string) []byte {
	return encode(model{ID: name, Object: "model", OwnedBy: "gypsumbank", Parent: parent})
}

func encode(value any) []byte {
	body, _ := json.Marshal(value)
	return body
}
