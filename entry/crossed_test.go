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

// impostor is a sidecar that answers as a test tells it.
type impostor struct {
	wire.DRPCNodeUnimplementedServer
	answer func(request *wire.GenerateRequest, send func(*wire.GenerateEvent))
	asked  chan struct{}
}

func (i *impostor) Exchange(context.Context, *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return &wire.ExchangeReply{Hint: &wire.Hint{Slots: 1000, TargetUp: true, Resident: []string{"blend-00"}}}, nil
}

func (i *impostor) Generate(request *wire.GenerateRequest, stream wire.DRPCSidecar_GenerateStream) error {
	select {
	case i.asked <- struct{}{}:
	default:
	}
	i.answer(request, func(event *wire.GenerateEvent) { _ = stream.Send(event) })
	return nil
}

func (i *impostor) Call(context.Context, *wire.CallRequest) (*wire.CallReply, error) {
	return &wire.CallReply{}, nil
}

func (i *impostor) Holds(context.Context, *wire.HoldsRequest) (*wire.HoldsReply, error) {
	return &wire.HoldsReply{}, nil
}

func (i *impostor) Prepare(context.Context, *wire.PrepareRequest) (*wire.PrepareReply, error) {
	return &wire.PrepareReply{}, nil
}

// enlist serves the impostor as a target of the deployment.
func (i *impostor) enlist(t *testing.T, d *deployment.Deployment) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	server := rpcserver.New(handshake.New(deployment.Secret), logrus.NewEntry(logger))
	for _, err := range []error{wire.DRPCRegisterNode(server.Mux(), i), wire.DRPCRegisterSidecar(server.Mux(), i)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	name := "impostor"
	for !placement.RanksHigher("blend-00", name, "model-00") {
		name += "-"
	}
	vm := vmlist.VM{Name: name, Address: listener.Addr().String(), AvailabilityZone: d.Size().Zone(0), Role: vmlist.RoleModel}
	if err := d.List(vm); err != nil {
		t.Fatal(err)
	}
	time.Sleep(d.Size().ListLag + time.Second)
}

func tokenEvent(id string, index int, text string) *wire.GenerateEvent {
	return &wire.GenerateEvent{RequestId: id, Kind: &wire.GenerateEvent_Token{Token: &wire.Token{Index: uint32(index), Text: text}}}
}

// TestCrossedAnswersNeverReachACaller has a target send tokens of another request, skipped and repeated tokens, and an end
// before the last token.
func TestCrossedAnswersNeverReachACaller(t *testing.T) {
	const prompt = "mine [[length=12]]"
	whole := client.Request{Model: "blend-00@1", Prompt: prompt, Seed: 5, MaxTokens: 100}
	right := func(index int) string { return engine.Token(whole, index) }
	tests := map[string]func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)){
		"tokens of another request": func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)) {
			send(tokenEvent(request.GetRequestId(), 0, right(0)))
			send(tokenEvent("req-other", 1, "theirs "))
		},
		"a token is skipped": func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)) {
			send(tokenEvent(request.GetRequestId(), 0, right(0)))
			send(tokenEvent(request.GetRequestId(), 2, right(2)))
		},
		"tokens are repeated": func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)) {
			for _, index := range []int{0, 1, 0, 1, 1, 2} {
				send(tokenEvent(request.GetRequestId(), index, right(index)))
			}
		},
		"an end before the last token": func(request *wire.GenerateRequest, send func(*wire.GenerateEvent)) {
			send(tokenEvent(request.GetRequestId(), 0, right(0)))
			end := &wire.Finished{Reason: "stop", CompletionTokens: 12}
			send(&wire.GenerateEvent{RequestId: request.GetRequestId(), Kind: &wire.GenerateEvent_Finished{Finished: end}})
		},
		"nothing at all": func(*wire.GenerateRequest, func(*wire.GenerateEvent)) {},
	}
	var want strings.Builder
	for i := range 12 {
		want.WriteString(right(i))
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, smallest())
			target := &impostor{answer: answer, asked: make(chan struct{}, 1)}
			target.enlist(t, d)
			body := fmt.Sprintf(`{"model":"blend-00","prompt":%q,"seed":5,"max_tokens":100}`, prompt)
			status, got := exchange(t, d, request("POST", "/v1/completions", d.Size().Key(d.Size().Members[0]), body))
			if status != http.StatusOK || !strings.Contains(got, fmt.Sprintf("%q", want.String())) {
				t.Errorf("status %d, answer %s, want %q", status, got, want.String())
			}
			select {
			case <-target.asked:
			default:
				t.Error("the target was never asked")
			}
		})
	}
}
