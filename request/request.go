package request

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is one request of a caller, as it is passed on and as the decisions see it.
type Request struct {
	ID      string
	Arrived time.Time
	Timeout time.Duration // how long the caller waits from Arrived; 0 if it did not say

	Method string
	Host   string
	URI    string // path and query as received
	Path   string
	Header http.Header // end-to-end headers to pass on
	Body   []byte

	Model           string
	Adapter         string
	PromptTokens    int
	MaxOutputTokens int    // most tokens to generate
	LengthHint      int    // the caller's estimate of the tokens generated; 0 if absent
	Parts           []Part // prompt from its start; the last part is the request's own
	LastEventID     string
	Priority        int // rank of the route, 0 is the most urgent
}

// WeightsKey returns the key under which an engine keeps parts of the prompt: the model and its adapter.
func (r *Request) WeightsKey() string {
	if r.Adapter == "" {
		return r.Model
	}
	return r.Model + "/" + r.Adapter
}

// PrefixHashes returns a hash for each part that stands for the weights and the prompt up to and including that part.
func (r *Request) PrefixHashes() []uint64 {
	hashes := make([]uint64, len(r.Parts))
	digest := xxhash.New()
	_, _ = digest.WriteString(r.WeightsKey()) // writes to a hash do not fail
	for i, part := range r.Parts {
		_, _ = digest.WriteString("\x00" + part.ID)
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// Fingerprint identifies the content of a request over the attempts of its caller.
func (r *Request) Fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Host + r.URI + "\x00" + r.WeightsKey() + "\x00")
	for _, part := range r.Parts {
		_, _ = digest.WriteString(part.ID + "\x00")
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}
