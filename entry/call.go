package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"storj.io/drpc"

	"gypsumbank/dialer"
	"gypsumbank/idempotency"
	"gypsumbank/pause"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const (
	callTryTime    = 3 * time.Second  // time for one try of a call that may be sent again
	callSearchTime = 10 * time.Second // time to find the replica that may run a call
	callPause      = 150 * time.Millisecond
)

// serviceCall is one call of a plain service on its way to a replica.
type serviceCall struct {
	caller  *caller
	service string
	message *wire.CallRequest
	key     *idempotency.Key
	sent    bool // a replica may have run the call
}

// call answers a call of a plain service.
func (e *Entry) call(ctx *fasthttp.RequestCtx, who *caller) *problem {
	c, failed := newServiceCall(ctx, who)
	if failed != nil {
		return failed
	}
	end, failed := e.admit(who)
	if failed != nil {
		return failed
	}
	defer end(0)
	running, cancel := context.WithTimeoutCause(context.Background(), e.config.Entry.RequestTimeout, errTimeout)
	defer cancel()
	reply := e.deliverCall(running, c)
	return writeReply(ctx, reply)
}

func newServiceCall(ctx *fasthttp.RequestCtx, who *caller) (*serviceCall, *problem) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), servicePrefix), "/")
	if !who.lists.Allowances().HasService(name) || !who.plan.AllowsService(name) {
		return nil, invalid(fasthttp.StatusNotFound, "service_not_found", "the service is not listed or not part of the plan")
	}
	key := string(ctx.Request.Header.Peek(keyHeader))
	if len(key) > maxKeyLength {
		return nil, invalid(fasthttp.StatusBadRequest, "invalid_idempotency_key", fmt.Sprintf("the key is longer than %d characters", maxKeyLength))
	}
	path := "/" + rest
	if query := ctx.QueryArgs().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	c := &serviceCall{caller: who, service: name, message: &wire.CallRequest{
		RequestId:      who.requestID,
		Customer:       who.customer.Name(),
		Member:         who.customer.Member(),
		Service:        name,
		Method:         string(ctx.Method()),
		Path:           path,
		Body:           append([]byte(nil), ctx.PostBody()...),
		IdempotencyKey: key,
	}}
	if contentType := ctx.Request.Header.ContentType(); len(contentType) > 0 {
		c.message.Headers = append(c.message.Headers, &wire.Header{Name: "Content-Type", Value: string(contentType)})
	}
	if accept := ctx.Request.Header.Peek("Accept"); len(accept) > 0 {
		c.message.Headers = append(c.message.Headers, &wire.Header{Name: "Accept", Value: string(accept)})
	}
	if key != "" {
		scoped := idempotency.NewKey(who.customer.Name(), key)
		c.key = &scoped
	}
	return c, nil
}

// repeatable reports whether a lost call may be sent again: one with a key runs once whatever happens, and safe methods
// have no effect.
func (c *serviceCall) repeatable() bool {
	return c.key != nil || c.message.GetMethod() == fasthttp.MethodGet || c.message.GetMethod() == fasthttp.MethodHead
}

// deliverCall tries replicas until one answers; it never claims that a call was not run if any may have run it.
func (e *Entry) deliverCall(ctx context.Context, c *serviceCall) *wire.CallReply {
	deadline := time.Now().Add(callSearchTime)
	tried := map[string]bool{}
	last := &wire.CallReply{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "no replica of the service is available"}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		vm, ok := e.pickReplica(c, tried)
		if !ok {
			clear(tried)
			_ = pause.For(ctx, callPause)
			continue
		}
		reply, err := e.tryReplica(ctx, c, vm)
		if err != nil {
			e.recordCall(timeline.RequestRetried, c, vm.Name, err.Error())
			e.node.Dialer().CloseIdle(vm.Address)
			tried[vm.Name] = true
			c.sent = c.sent || !errors.Is(err, dialer.ErrNotConnected)
			if c.sent && !c.repeatable() {
				return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: "the call was sent and no answer came"}
			}
			e.forgetOwner(c)
			continue
		}
		if reply.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
			return reply
		}
		last = reply
		if final := e.afterCallRefusal(ctx, c, vm, reply, tried); final {
			break
		}
	}
	if c.sent {
		return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: last.GetDetail()}
	}
	return last
}

// afterCallRefusal notes why a replica did not run a call and reports whether no replica will.
func (e *Entry) afterCallRefusal(ctx context.Context, c *serviceCall, vm vmlist.VM, reply *wire.CallReply, tried map[string]bool) bool {
	e.recordCall(timeline.RequestRefused, c, vm.Name, reply.GetDetail())
	switch reply.GetRefused().GetReason() {
	case wire.RefusalReason_REFUSAL_KEY_REUSED:
		return true
	case wire.RefusalReason_REFUSAL_LEAVING:
		e.node.Roster().SetLeaving(vm.Name, true)
		tried[vm.Name] = true
		e.forgetOwner(c)
	case wire.RefusalReason_REFUSAL_NOT_HOME:
		owner := reply.GetOwner()
		e.setOwner(c, owner)
		if owner == "" || owner == vm.Name || tried[owner] {
			_ = pause.For(ctx, callPause)
		}
		delete(tried, owner)
	case wire.RefusalReason_REFUSAL_BUSY:
		_ = pause.For(ctx, callPause)
	default:
		tried[vm.Name] = c.key == nil
		_ = pause.For(ctx, callPause)
	}
	return false
}

// pickReplica returns the owner of a key, or any replica that was not tried for a call without one.
func (e *Entry) pickReplica(c *serviceCall, tried map[string]bool) (vmlist.VM, bool) {
	vms := e.node.Roster().ServiceVMs(c.service)
	if c.key != nil {
		if owner := e.owner(c); owner != "" && !tried[owner] {
			if vm, ok := e.node.Roster().Get(owner); ok {
				return vm, true
			}
		}
		name := idempotency.PreferredReplica(c.service, *c.key, untried(vms, tried))
		return e.node.Roster().Get(name)
	}
	for _, vm := range untried(vms, tried) {
		if vm.AvailabilityZone == e.config.Node.AvailabilityZone && !vm.Leaving {
			return vm, true
		}
	}
	for _, vm := range untried(vms, tried) {
		if !vm.Leaving {
			return vm, true
		}
	}
	return vmlist.VM{}, false
}

func (e *Entry) tryReplica(ctx context.Context, c *serviceCall, vm vmlist.VM) (*wire.CallReply, error) {
	if c.repeatable() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTryTime)
		defer cancel()
	}
	c.message.Clock = e.node.Ring().NextClock()
	e.recordCall(timeline.RequestRouted, c, vm.Name, "")
	conn, err := e.connect(ctx, c, vm)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reply, err := wire.NewDRPCSidecarClient(conn).Call(ctx, c.message)
	e.node.Ring().Observe(reply.GetClock())
	return reply, err
}

// connect opens a new connection for a call that may be sent only once, since an idle one may have been closed.
func (e *Entry) connect(ctx context.Context, c *serviceCall, vm vmlist.VM) (drpc.Conn, error) {
	if c.repeatable() {
		return e.node.Dialer().Conn(ctx, vm.Address), nil
	}
	return e.node.Dialer().Dial(ctx, vm.Address)
}

func untried(vms []vmlist.VM, tried map[string]bool) []vmlist.VM {
	var left []vmlist.VM
	for _, vm := range vms {
		if !tried[vm.Name] {
			left = append(left, vm)
		}
	}
	return left
}

func (e *Entry) owner(c *serviceCall) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owners[c.slot()]
}

func (e *Entry) setOwner(c *serviceCall, name string) {
	if c.key == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owners[c.slot()] = name
}

func (e *Entry) forgetOwner(c *serviceCall) { e.setOwner(c, "") }

func (c *serviceCall) slot() string { return fmt.Sprintf("%s/%d", c.service, c.key.Slot()) }

func (e *Entry) recordCall(kind timeline.Kind, c *serviceCall, target, detail string) {
	e.record(timeline.Event{
		Kind:      kind,
		RequestID: c.caller.requestID,
		Customer:  c.caller.customer.Name(),
		Target:    target,
		Model:     c.service,
		Detail:    detail,
	})
}

func writeReply(ctx *fasthttp.RequestCtx, reply *wire.CallReply) *problem {
	outcome := outcomeName(reply.GetOutcome())
	if reply.GetStatus() == 0 {
		return callProblem(reply, outcome)
	}
	ctx.SetStatusCode(int(reply.GetStatus()))
	for _, header := range reply.GetHeaders() {
		ctx.Response.Header.Set(header.GetName(), header.GetValue())
	}
	ctx.Response.Header.Set(outcomeHeader, outcome)
	if reply.GetReplayed() {
		ctx.Response.Header.Set(replayedHeader, "true")
	}
	ctx.SetBody(reply.GetBody())
	return nil
}

func callProblem(reply *wire.CallReply, outcome string) *problem {
	failed := unavailable("service_unavailable", reply.GetDetail(), time.Duration(reply.GetRefused().GetRetryAfterMs())*time.Millisecond)
	failed.outcome = outcome
	switch {
	case reply.GetOutcome() == wire.Outcome_OUTCOME_RUN:
		failed.status, failed.code = fasthttp.StatusConflict, "answer_not_kept"
	case reply.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN:
		failed.status, failed.code = fasthttp.StatusBadGateway, "outcome_unknown"
	case reply.GetRefused().GetReason() == wire.RefusalReason_REFUSAL_KEY_REUSED:
		failed.status, failed.code, failed.kind = fasthttp.StatusUnprocessableEntity, "idempotency_key_reused", "invalid_request_error"
		failed.retryAfter = 0
	}
	return failed
}
