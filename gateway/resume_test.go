package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbank/standin/site"
)

// TestErrorOfTheResumingTargetIsNotPartOfTheStream breaks a resumable stream after its first events and has the target that
// is to resume it answer with an error. The caller's answer must look incomplete and have none of the error's bytes.
func TestErrorOfTheResumingTargetIsNotPartOfTheStream(t *testing.T) {
	for name, status := range map[string]int{"server error": 500, "gateway timeout": 504, "client error": 404} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			other := site.NewTarget("e2", site.EventStream(6, 0, 2))
			defer other.Close()
			other.Load("m1")
			d.store.Put("servers", "e2", other.RegistryEntry("engine", "ready"))
			time.Sleep(1200 * time.Millisecond) // until the gateway has read the registry
			resumed := site.TextResponse(status, "error text")
			for _, target := range []*site.Target{d.engineTarget, other} {
				broken := site.EventStream(6, 0, 2)
				target.SetHandler(func(conn net.Conn, request *site.ReceivedRequest) bool {
					if request.Header.Get("Last-Event-Id") != "" {
						return resumed(conn, request)
					}
					return broken(conn, request)
				})
			}
			response, body, err := d.roundTrip(getRequest("/resume/a", m1Header))
			if response == nil || response.StatusCode != http.StatusOK {
				t.Fatalf("response %v, %v, want the first target's 200", response, err)
			}
			if err == nil {
				t.Errorf("the answer looks complete: %q", body)
			}
			if strings.Contains(body, "error text") || strings.Count(body, "\n\n") != 2 {
				t.Errorf("body %q, want the first two events", body)
			}
		})
	}
}
