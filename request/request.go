package request

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a consecutive piece of a prompt. Requests whose prompts begin with the same parts can share KV cache.
type Part struct {
	ID     string // equal for parts with equal content
	Tokens int
}

// Request is one request of a caller: the HTTP request to forward and the properties that routing depends on.
type Request struct {
	ID      string
	Arrived time.Time
	Timeout time.Duration // how long the caller waits, counted from Arrived; 0 if the caller set no limit

	Method string
	Host   string
	URI    string      // path and query as received
	Path   string      // without the query
	Header http.Header // end-to-end headers to forward
	Body   []byte

	Customer        string  // name of the customer that holds the request's key; empty if it has none
	CustomerWeight  float64 // of the customer's share where requests wait, over an equal one; 0 without a customer
	Model           string
	Adapter         string
	PromptTokens    int
	MaxOutputTokens int    // limit on the generated tokens
	LengthHint      int    // the caller's estimate of the generated tokens; 0 if absent
	Parts           []Part // the prompt in order; the last part is not shared with other requests
	LastEventID     string // event after which an interrupted stream resumes; empty for a new stream
	FirstRequestID  string // id of the request that brought the first event of that stream; empty if the caller did not say
	Priority        int    // 0 is the most urgent
}

// WeightsKey returns the model, or "model/adapter" for a request with an adapter. KV cache entries are valid only for
// the weights that computed them, so this is part of their key.
func (r *Request) WeightsKey() string {
	if r.Adapter == "" {
		return r.Model
	}
	return r.Model + "/" + r.Adapter
}

// ExpectedOutputTokens returns the caller's estimate of the generated tokens, or half of the limit if it gave none.
func (r *Request) ExpectedOutputTokens() int {
	if r.LengthHint > 0 && r.MaxOutputTokens > 0 {
		return min(r.LengthHint, r.MaxOutputTokens)
	}
	return max(r.LengthHint, r.MaxOutputTokens/2)
}

// PrefixHashes returns one hash for each part, computed over the weights and the prompt up to and including that part.
// Two requests with the same hash have the same prompt prefix for the same weights.
func (r *Request) PrefixHashes() []uint64 {
	hashes := make([]uint64, len(r.Parts))
	hash := xxhash.New()
	_, _ = hash.WriteString(r.WeightsKey()) // writes to a hash do not fail
	for i, part := range r.Parts {
		_, _ = hash.WriteString("\x00" + part.ID)
		hashes[i] = hash.Sum64()
	}
	return hashes
}

// Fingerprint returns a hash that is the same for each attempt of a caller to send the same request.
func (r *Request) Fingerprint() uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Host + r.URI + "\x00" + r.WeightsKey() + "\x00")
	for _, part := range r.Parts {
		_, _ = hash.WriteString(part.ID + "\x00")
	}
	_, _ = hash.Write(r.Body)
	return hash.Sum64()
}

// SharedPartIDs returns the ids of the prompt parts that other requests may have in common with this one: all but the last.
func (r *Request) SharedPartIDs() []string {
	if len(r.Parts) == 0 {
		return nil
	}
	ids := make([]string, 0, len(r.Parts)-1)
	for _, part := range r.Parts[:len(r.Parts)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}
