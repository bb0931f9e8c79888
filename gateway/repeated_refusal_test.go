package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// TestRefusalThatIsWrittenTwiceIsNoAnswerToTheNextSend guards against the second copy of a refusal that a target writes on a kept
// connection: it has the id of the request, which the gateway sends to the same target again. The request runs once then, and its
// caller must get the answer to that run.
func TestRefusalThatIsWrittenTwiceIsNoAnswerToTheNextSend(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sX-Gypsumbank-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	type copyWhen int
	const (
		beforeTheNextAnswer copyWhen = iota // when the next request has arrived, in place of its answer
		afterTheRefusal                     // a moment later, while the connection is idle
		withTheNextAnswer                   // in one packet with it
	)
	cases := map[string]copyWhen{"before the next answer": beforeTheNextAnswer, "after the refusal": afterTheRefusal, "with the next answer": withTheNextAnswer}
	for name, when := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var mu sync.Mutex
			refused := map[net.Conn]bool{}
			runs, first := 0, true
			d.engineTarget.SetHandler(func(conn net.Conn, request *site.ReceivedRequest) bool {
				mu.Lock()
				defer mu.Unlock()
				copied := fmt.Sprintf(refusal, site.IdentityHeaders(request))
				if first {
					first, refused[conn] = false, true
					_, _ = io.WriteString(conn, copied)
					if when == afterTheRefusal {
						time.AfterFunc(10*time.Millisecond, func() { _, _ = io.WriteString(conn, copied) })
					}
					return true
				}
				runs++
				answer := "HTTP/1.1 200 OK\r\n" + site.IdentityHeaders(request) + "Content-Length: 15\r\n\r\nid: 1\ndata: x\n\n"
				switch {
				case !refused[conn]:
				case when == beforeTheNextAnswer:
					_, _ = io.WriteString(conn, copied)
					time.Sleep(30 * time.Millisecond)
				case when == withTheNextAnswer:
					answer = copied + answer
				}
				_, _ = io.WriteString(conn, answer)
				return true
			})
			response, body, err := d.roundTrip(getRequest("/stream/a", m1Header))
			if err != nil || response.StatusCode != http.StatusOK || body != "id: 1\ndata: x\n\n" {
				t.Errorf("response %v, body %q, %v; want the answer", response, body, err)
			}
			mu.Lock()
			defer mu.Unlock()
			if runs != 1 {
				t.Errorf("the request ran %d times", runs)
			}
		})
	}
}
