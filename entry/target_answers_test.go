package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/deployment"
	client "gypsumbank/engine"
	"gypsumbank/handshake"
	"gypsumbank/placement"
	"gypsumbank/rpcserver"
	"gypsumbank/standin/engine"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

// fakeTarget is a sidecar whose answer to a request for a completion is scripted by the test.
type fakeTarget struct {
	wire.DRPCNodeUnimplementedServer
	answer func(request *wire.GenerateRequest, send func(*wire.GenerateEvent))
	called chan struct{} // has a value once a request has arrived
}

func (f *fakeTarget) Exchange(context.Context, *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return &wire.ExchangeReply{Hint: &wire.Hint{Slots: 1000, TargetUp: true, Resident: []string{"blend-00"}}}, nil
}

func (f *fakeTarget) Generate(request *wire.GenerateRequest, stream wire.DRPCSidecar_GenerateStream) error {
	select {
	case f.called <- struct{}{}:
	default:
	}
	f.answer(request, func(event *wire.GenerateEvent) { _ = stream.Send(event) })
	return nil
}

func (f *fakeTarget) Call(context.Context, *wire.CallRequest) (*wire.CallReply, error) {
	return &wire.CallReply{}, nil
}

func (f *fakeTarget) Holds(context.Context, *wire.HoldsRequest) (*wire.HoldsReply, error) {
	return &wire.HoldsReply{}, nil
}

func (f *fakeTarget) Prepare(context.Context, *wire.PrepareRequest) (*wire.PrepareReply, error) {
	return &wire.PrepareReply{}, nil
}

// register serves the fake target and adds it to the deployment's list of VMs, under a name that ranks above the real
// target's for the model, so that the entry tries it first.
func (f *fakeTarget) register(t *testing.T, d *deployment.Deployment) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := rpcserver.New(handshake.New(deployment.Secret), logrus.NewEntry(logger))
	for _, err := range []error{wire.DRPCRegisterNode(server.Mux(), f), wire.DRPCRegisterSidecar(server.Mux(), f)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serverEnded := make(chan error, 1)
	go func() { serverEnded <- server.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-serverEnded
	})
	name := "impostor"
	for !placement.RanksHigher("blend-00", name, "model-00") {
		name += "-"
	}
	vm := vmlist.VM{Name: name, Address: listener.Addr().String(), AvailabilityZone: d.Size().Zone(0), Role: vmlist.RoleModel}
	if err := d.PutVM(vm); err != nil {
		t.Fatal(err)
	}
	time.Sleep(d.Size().ListLag + time.Second)
}

func tokenEvent(id string, index int, text string) *wire.GenerateEvent {
	return &wire.GenerateEvent{RequestId: id, Kind: &wire.GenerateEvent_Token{Token: &wire.Token{Index: uint32(index), Text: text}}}
}

// TestInvalidTargetAnswersNeverReachCallers checks that the caller gets the right answer, completed by another target,
// when a faulty target sends tokens of another request, skips or repeats tokens, or ends its stream too early.
func TestInvalidTargetAnswersNeverReachCallers(t *testing.T) {
	const prompt = "mine [[length=12]]"
	engineRequest := client.Request{Model: "blend-00@1", Prompt: prompt, Seed: 5, MaxTokens: 100}
	expectedToken := func(index int) string { return engine.Token(engineRequest, index) }
	tests := map[string]func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)){
		"tokens of another request": func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)) {
			send(tokenEvent(request.GetRequestId(), 0, expectedToken(0)))
			send(tokenEvent("req-other", 1, "theirs "))
		},
		"skipped token": func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)) {
			send(tokenEvent(request.GetRequestId(), 0, expectedToken(0)))
			send(tokenEvent(request.GetRequestId(), 2, expectedToken(2)))
		},
		"repeated tokens": func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)) {
			for _, index := range []int{0, 1, 0, 1, 1, 2} {
				send(tokenEvent(request.GetRequestId(), index, expectedToken(index)))
			}
		},
		"finished before the last token": func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)) {
			send(tokenEvent(request.GetRequestId(), 0, expectedToken(0)))
			finished := &wire.Finished{Reason: "stop", CompletionTokens: 12}
			send(&wire.GenerateEvent{RequestId: request.GetRequestId(), Kind: &wire.GenerateEvent_Finished{Finished: finished}})
		},
		"stream ends without an event": func(*wire.GenerateRequest, func(*wire.GenerateEvent)) {},
	}
	var want strings.Builder
	for i := range 12 {
		want.WriteString(expectedToken(i))
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, minimalSize())
			target := &fakeTarget{answer: answer, called: make(chan struct{}, 1)}
			target.register(t, d)
			body := fmt.Sprintf(`{"model":"blend-00","prompt":%q,"seed":5,"max_tokens":100}`, prompt)
			status, got := sendRaw(t, d, rawRequest("POST", "/v1/completions", d.Size().Key(d.Size().Members[0]), body))
			if status != http.StatusOK || !strings.Contains(got, fmt.Sprintf("%q", want.String())) {
				t.Errorf("status %d, body %s, want status 200 and the text %q", status, got, want.String())
			}
			select {
			case <-target.called:
			default:
				t.Error("the faulty target got no request")
			}
		})
	}
}
