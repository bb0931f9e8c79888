package completion

import (
	"encoding/json"
	"time"
)

// Usage holds the token counts of a request, as reported in its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// choice is the generated text in an answer: Text for a text completion, Message for a whole chat answer and Delta for
// a chunk of a streamed one.
type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// answerBody is a whole answer or one chunk of a streamed answer.
type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// NewUsage returns the given token counts and their sum.
func NewUsage(promptTokens, completionTokens int) Usage {
	return Usage{PromptTokens: promptTokens, CompletionTokens: completionTokens, TotalTokens: promptTokens + completionTokens}
}

// Answer encodes the answer to a request that is not streamed.
func (r *Request) Answer(id, text, finishReason string, usage Usage) []byte {
	answer := r.newAnswerBody(id, "text_completion", "chat.completion")
	only := choice{FinishReason: &finishReason}
	if r.chat {
		only.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	answer.Choices = []choice{only}
	answer.Usage = &usage
	return encode(answer)
}

// Chunk encodes one event of a streamed answer. The first event of a chat answer also names the role.
func (r *Request) Chunk(id, text string, first bool) []byte {
	answer := r.newAnswerBody(id, "text_completion", "chat.completion.chunk")
	answer.Choices = []choice{r.newDeltaChoice(text, first, nil)}
	return encode(answer)
}

// LastChunk encodes the last event of a streamed answer, with the usage if the request asked for it.
func (r *Request) LastChunk(id, finishReason string, usage Usage) []byte {
	answer := r.newAnswerBody(id, "text_completion", "chat.completion.chunk")
	answer.Choices = []choice{r.newDeltaChoice("", false, &finishReason)}
	if r.includeUsage {
		answer.Usage = &usage
	}
	return encode(answer)
}

func (r *Request) newDeltaChoice(text string, first bool, finishReason *string) choice {
	only := choice{FinishReason: finishReason}
	if !r.chat {
		only.Text = &text
		return only
	}
	only.Delta = &answerMessage{Content: text}
	if first {
		only.Delta.Role = "assistant"
	}
	return only
}

// newAnswerBody returns an answer without choices, whose object type is chatObject for a chat and textObject otherwise.
func (r *Request) newAnswerBody(id, textObject, chatObject string) answerBody {
	object := textObject
	if r.chat {
		object = chatObject
	}
	return answerBody{ID: id, Object: object, Created: time.Now().Unix(), Model: r.model}
}

// ErrorBody is an error in the JSON format that clients expect.
type ErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Encode returns the error as the body of an answer.
func (e ErrorBody) Encode() []byte {
	return encode(struct {
		Error ErrorBody `json:"error"`
	}{e})
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// EncodeModelList encodes the list of models and adapters; baseModels maps each adapter to its base model.
func EncodeModelList(modelNames []string, baseModels map[string]string) []byte {
	list := struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{Object: "list", Data: []modelEntry{}}
	for _, name := range modelNames {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "gypsumbank", Parent: baseModels[name]})
	}
	return encode(list)
}

// EncodeModel encodes the description of one model; baseModel is the model that it is an adapter of, or "".
func EncodeModel(name, baseModel string) []byte {
	return encode(modelEntry{ID: name, Object: "model", OwnedBy: "gypsumbank", Parent: baseModel})
}

func encode(value any) []byte {
	body, _ := json.Marshal(value) // the types of this package can always be encoded
	return body
}
