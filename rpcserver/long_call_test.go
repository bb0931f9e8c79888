package rpcserver_test

import (
	"testing"
	"time"

	"gypsumbank/dialer"
	"gypsumbank/wire"
)

// TestLongCallIsAnswered guards against the deadline of a head, 10 s after the first byte of a request, on a connection that carries no HTTP: it ended calls that
// take longer.
func TestLongCallIsAnswered(t *testing.T) {
	t.Parallel()
	const work = 10500 * time.Millisecond
	address, _ := startRPCServer(t, &slowCalls{work: work})
	d := dialer.New(nil)
	t.Cleanup(func() { d.Close() })
	reply, err := wire.NewDRPCSidecarClient(d.Conn(t.Context(), address)).Call(t.Context(), &wire.CallRequest{})
	if err != nil || reply.GetOutcome() != wire.Outcome_OUTCOME_RUN {
		t.Errorf("outcome %s, error %v, want a call that ran", reply.GetOutcome(), err)
	}
}
