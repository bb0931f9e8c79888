package sender_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gypsumbank/connpool"
	"gypsumbank/sender"
)

// TestBodyIsNotCopiedForAnAttempt sends a large body several times and checks that this takes no memory of its size.
func TestBodyIsNotCopiedForAnAttempt(t *testing.T) {
	const attempts = 4
	body := []byte(strings.Repeat("0123456789abcdef", 1<<18))
	received := make(chan bool, attempts)
	buffer := make([]byte, len(body)+1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.ReadFull(r.Body, buffer)
		received <- string(buffer[:n]) == string(body) && r.Header.Get("X-Test") == "1"
	}))
	defer server.Close()
	s := sender.New(connpool.New(connpool.Unlimited))
	request := &sender.Request{Method: http.MethodPost, URI: "/x", Host: "target", Header: http.Header{"X-Test": {"1"}}, Body: body, Reuse: connpool.Reuse{MaxIdle: time.Second, ValidateAfter: time.Second}}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range attempts {
		response, err := s.Send(t.Context(), server.Listener.Addr().String(), request)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Error(err)
		}
		response.Body.Close()
		if !<-received {
			t.Error("the target got another body or header")
		}
	}
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; took > uint64(len(body))/2 {
		t.Errorf("%d sends of a body of %d bytes allocated %d bytes, want less than half of one body", attempts, len(body), took)
	}
}
