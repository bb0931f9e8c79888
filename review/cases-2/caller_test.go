package cases

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// call is a request of a caller and what came of it.
type call struct {
	ID     string
	At     time.Time
	Status int // 0 without an answer
	Begun  bool
	Whole  bool // the answer has come to its end
	Body   string
	Err    error
}

// newCaller returns a client that opens a connection for each request and repeats none.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerPatience}
}

// ask sends a request to a gateway and returns what came of it.
func ask(client *http.Client, method, gateway, path, id string, header map[string]string, body string) call {
	return askWithin(client, callerPatience, method, gateway, path, id, header, body)
}

// callerPatience is how long callers wait for a whole answer.
const callerPatience = 6 * time.Second

// askWithin is ask with the time that the caller waits.
func askWithin(client *http.Client, patience time.Duration, method, gateway, path, id string, header map[string]string, body string) call {
	c := call{ID: id, At: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway+path, strings.NewReader(body))
	if err != nil {
		c.Err = err
		return c
	}
	request.Host = callerHost
	request.Header.Set("X-Gypsumbank-Request-Id", id)
	request.Header.Set("X-Gypsumbank-Deadline-Ms", "5000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		c.Err = err
		return c
	}
	defer response.Body.Close()
	c.Status = response.StatusCode
	data, err := io.ReadAll(response.Body)
	c.Body, c.Err, c.Whole = string(data), err, err == nil
	c.Begun = c.Status == http.StatusOK && len(data) > 0
	return c
}
