package explain

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"gypsumbank/jsonclient"
)

const (
	// Path is the path on a gateway's metrics port at which it explains requests.
	Path = "/explain"
	// AnswerTime bounds the wait for an explanation.
	AnswerTime = 2 * time.Second
	// maxAnswerBytes bounds an explanation.
	maxAnswerBytes = 4 << 20
)

// Ask asks the gateway with the metrics port at an address to explain a request.
func Ask(ctx context.Context, address string, request *Request) (*Explanation, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, fmt.Errorf("%w: the gateway is to be given as HOST:PORT of its metrics port", ErrInvalid)
	}
	if err := request.Check(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	if len(text) > MaxRequestBytes {
		return nil, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, AnswerTime)
	defer cancel()
	var answer Explanation
	if err := jsonclient.New(address, maxAnswerBytes).Do(ctx, "POST", Path, json.RawMessage(text), &answer); err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	return &answer, nil
}
