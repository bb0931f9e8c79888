package framing

import "net/http"

// Framing is how an HTTP message says where its body ends.
type Framing int

// Framings of a body.
const (
	// Length is a body with a known number of bytes, also none.
	Length Framing = iota
	// Chunks is a body in chunks, of which the last is marked.
	Chunks
	// Connection is a body that ends where its connection ends, so that its end does not show that it is whole.
	Connection
)

// Of returns the framing of a response as net/http has read it.
func Of(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return Length
	case len(response.TransferEncoding) > 0:
		return Chunks
	}
	return Connection
}

// String returns the name of the framing in logs and metrics.
func (f Framing) String() string { return [...]string{"length", "chunks", "connection"}[f] }
