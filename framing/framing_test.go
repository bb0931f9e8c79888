package framing_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gypsumbank/framing"
)

func TestOf(t *testing.T) {
	cases := map[string]struct {
		method, head string
		want         framing.Framing
	}{
		"a length":               {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", framing.Length},
		"no bytes":               {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", framing.Length},
		"no body by its status":  {http.MethodGet, "HTTP/1.1 204 No Content\r\n", framing.Length},
		"no body by its request": {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", framing.Length},
		"no body, length unsaid": {http.MethodHead, "HTTP/1.1 200 OK\r\n", framing.Length},
		"chunks":                 {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", framing.Chunks},
		"neither":                {http.MethodGet, "HTTP/1.1 200 OK\r\n", framing.Connection},
		"neither, and closes":    {http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\n", framing.Connection},
		"chunks in HTTP/1.0":     {http.MethodGet, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", framing.Connection},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head+"\r\nabc")), &http.Request{Method: c.method})
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if got := framing.Of(response); got != c.want {
				t.Errorf("framing %s, want %s", got, c.want)
			}
		})
	}
}
