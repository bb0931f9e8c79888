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
	"gypsumbank/suspect"
	"gypsumbank/timeline"
	"gypsumbank/vmlist"
	"gypsumbank/wire"
)

const (
	callAttemptTimeout   = 3 * time.Second  // for one attempt of a retryable call
	replicaSearchTimeout = 10 * time.Second // time after which no further replica is tried
	callRetryDelay       = 150 * time.Millisecond
)

// serviceCall is one call of a plain service, which may take several attempts at different replicas.
type serviceCall struct {
	caller     *caller
	service    string
	request    *wire.CallRequest
	key        *idempotency.Key // nil for a call without an idempotency key
	mayHaveRun bool             // a replica may have run the call
}

// serveServiceCall passes a call to a replica of a plain service and answers with the reply.
func (e *Entry) serveServiceCall(ctx *fasthttp.RequestCtx, caller *caller) *errorResponse {
	c, failed := e.newServiceCall(ctx, caller)
	if failed != nil {
		return failed
	}
	release, failed := e.admit(caller)
	if failed != nil {
		return failed
	}
	defer release(0)
	callCtx, cancel := context.WithTimeoutCause(e.requests, e.config.Entry.RequestTimeout, errRequestTimeout)
	defer cancel()
	reply := e.callWithRetries(callCtx, c)
	failed = writeCallReply(ctx, reply)
	if failed == nil && reply.GetAnswerEnd() == wire.AnswerEnd_ANSWER_END_UNPROVEN {
		e.endWithConnection(ctx)
	}
	return failed
}

func (e *Entry) newServiceCall(ctx *fasthttp.RequestCtx, caller *caller) (*serviceCall, *errorResponse) {
	serviceName, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), servicePrefix), "/")
	if !caller.snapshot.Allowances().HasService(serviceName) || !caller.plan.AllowsService(serviceName) {
		return nil, e.lacking(caller.requestID, caller.snapshot.Version(), clientError(fasthttp.StatusNotFound, "service_not_found", "the service is not listed or not part of the plan"))
	}
	key := string(ctx.Request.Header.Peek(idempotencyKeyHeader))
	if len(key) > maxIdempotencyKeyBytes {
		return nil, clientError(fasthttp.StatusBadRequest, "invalid_idempotency_key", fmt.Sprintf("the key is longer than %d characters", maxIdempotencyKeyBytes))
	}
	path := "/" + rest
	if query := ctx.QueryArgs().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	c := &serviceCall{caller: caller, service: serviceName, request: &wire.CallRequest{
		RequestId:      caller.requestID,
		Customer:       caller.customer.Name(),
		Member:         caller.customer.Member(),
		Service:        serviceName,
		Method:         string(ctx.Method()),
		Path:           path,
		Body:           ctx.PostBody(), // which readBody has allocated
		IdempotencyKey: key,
	}}
	c.request.Fingerprint = suspect.Fingerprint(c.request.GetCustomer(), serviceName, c.request.GetMethod(), path, string(c.request.GetBody()))
	if contentType := ctx.Request.Header.ContentType(); len(contentType) > 0 {
		c.request.Headers = append(c.request.Headers, &wire.Header{Name: "Content-Type", Value: string(contentType)})
	}
	if accept := ctx.Request.Header.Peek("Accept"); len(accept) > 0 {
		c.request.Headers = append(c.request.Headers, &wire.Header{Name: "Accept", Value: string(accept)})
	}
	if key != "" {
		scoped := idempotency.NewKey(caller.customer.Name(), key)
		c.key = &scoped
	}
	return c, nil
}

// retryable reports whether a call may be sent again after a failed attempt that may have run it: with an idempotency
// key it runs at most once, and the safe methods GET and HEAD have no effect.
func (c *serviceCall) retryable() bool {
	return c.key != nil || c.request.GetMethod() == fasthttp.MethodGet || c.request.GetMethod() == fasthttp.MethodHead
}

// callWithRetries tries replicas until one answers. The outcome is never not-run if a replica may have run the call.
func (e *Entry) callWithRetries(ctx context.Context, c *serviceCall) *wire.CallReply {
	deadline := time.Now().Add(replicaSearchTimeout)
	tried := map[string]bool{}
	lastReply := &wire.CallReply{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "no replica of the service is available"}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if e.node.Suspects().Blocked(c.request.GetFingerprint()) {
			lastReply = suspectReply()
			break
		}
		vm, ok := e.pickReplica(c, tried)
		if !ok {
			clear(tried)
			_ = pause.For(ctx, callRetryDelay)
			continue
		}
		reply, err := e.callReplica(ctx, c, vm)
		if err != nil {
			e.recordCallEvent(timeline.RequestRetried, c, vm.Name, err.Error())
			e.node.Dialer().CloseIdle(vm.Address)
			tried[vm.Name] = true
			c.mayHaveRun = c.mayHaveRun || !errors.Is(err, dialer.ErrNotConnected)
			if c.mayHaveRun && !c.retryable() {
				return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: "the call was sent and no answer came"}
			}
			e.forgetSlotOwner(c)
			continue
		}
		e.recordCrashes(ctx, c, reply)
		if reply.GetOutcome() != wire.Outcome_OUTCOME_NOT_RUN {
			return reply
		}
		lastReply = reply
		if final := e.handleCallRefusal(ctx, c, vm, reply, tried); final {
			break
		}
	}
	switch {
	case c.mayHaveRun && lastReply.GetRefused().GetReason() == wire.RefusalReason_REFUSAL_SUSPECT:
		lastReply.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	case c.mayHaveRun:
		return &wire.CallReply{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Detail: lastReply.GetDetail()}
	}
	return lastReply
}

// suspectReply refuses a call under whose content targets have crashed.
func suspectReply() *wire.CallReply {
	return &wire.CallReply{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN, Detail: "targets crashed while they ran this call",
		Refused: &wire.Refused{Reason: wire.RefusalReason_REFUSAL_SUSPECT},
	}
}

// recordCrashes records what a reply shows of the call's content. A crash is told to the other entries before the caller gets an
// answer, so that they recognize the content if it comes again.
func (e *Entry) recordCrashes(ctx context.Context, c *serviceCall, reply *wire.CallReply) {
	fingerprint := c.request.GetFingerprint()
	switch {
	case reply.GetCrashCount() > 0:
		e.node.Suspects().Raise(fingerprint, reply.GetCrashCount())
		e.node.SendSuspectsToEntries(context.WithoutCancel(ctx))
	case reply.GetRefused().GetReason() == wire.RefusalReason_REFUSAL_SUSPECT:
		e.node.Suspects().Raise(fingerprint, suspect.BlockAfterCrashes)
	case reply.GetOutcome() == wire.Outcome_OUTCOME_RUN && !reply.GetReplayed():
		e.node.Suspects().Clear(fingerprint)
	}
}

// handleCallRefusal records why a replica did not run a call, pauses if the next attempt should wait, and reports
// whether every other replica would refuse the call as well.
func (e *Entry) handleCallRefusal(ctx context.Context, c *serviceCall, vm vmlist.VM, reply *wire.CallReply, tried map[string]bool) bool {
	e.recordCallEvent(timeline.RequestRefused, c, vm.Name, reply.GetDetail())
	switch reply.GetRefused().GetReason() {
	case wire.RefusalReason_REFUSAL_KEY_REUSED, wire.RefusalReason_REFUSAL_SUSPECT:
		return true
	case wire.RefusalReason_REFUSAL_LEAVING:
		e.node.Roster().SetLeaving(vm.Name, true)
		tried[vm.Name] = true
		e.forgetSlotOwner(c)
	case wire.RefusalReason_REFUSAL_NOT_HOME:
		owner := reply.GetOwner()
		e.setSlotOwner(c, owner)
		if owner == "" || owner == vm.Name || tried[owner] {
			_ = pause.For(ctx, callRetryDelay)
		}
		delete(tried, owner)
	case wire.RefusalReason_REFUSAL_BUSY:
		_ = pause.For(ctx, callRetryDelay)
	default:
		tried[vm.Name] = c.key == nil
		_ = pause.For(ctx, callRetryDelay)
	}
	return false
}

// pickReplica returns the replica for the next attempt. A call with a key goes to the known owner of the key's slot or,
// if that was tried or none is known, to the untried replica that most likely owns it. A call without a key goes to any
// untried replica, with those of the entry's own availability zone first.
func (e *Entry) pickReplica(c *serviceCall, tried map[string]bool) (vmlist.VM, bool) {
	vms := e.node.Roster().ServiceVMs(c.service)
	if c.key != nil {
		if owner := e.slotOwner(c); owner != "" && !tried[owner] {
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

// callReplica makes one attempt of a call. Only a retryable call has a timeout of its own, as a call that cannot be
// sent again must be given the time to answer.
func (e *Entry) callReplica(ctx context.Context, c *serviceCall, vm vmlist.VM) (*wire.CallReply, error) {
	if c.retryable() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callAttemptTimeout)
		defer cancel()
	}
	c.request.Clock, c.request.KnownCrashes = e.node.Ring().NextClock(), e.node.Suspects().Crashes(c.request.GetFingerprint())
	e.recordCallEvent(timeline.RequestRouted, c, vm.Name, "")
	conn, err := e.replicaConn(ctx, c, vm)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reply, err := wire.NewDRPCSidecarClient(conn).Call(ctx, c.request)
	e.node.Ring().Observe(reply.GetClock())
	return reply, err
}

// replicaConn returns a new connection for a call that is not retryable: an idle one may have been closed by the
// replica without notice, and then it would be unknown whether the call was run.
func (e *Entry) replicaConn(ctx context.Context, c *serviceCall, vm vmlist.VM) (drpc.Conn, error) {
	if c.retryable() {
		return e.node.Dialer().Conn(ctx, vm.Address), nil
	}
	return e.node.Dialer().Dial(ctx, vm.Address)
}

func untried(vms []vmlist.VM, tried map[string]bool) []vmlist.VM {
	var remaining []vmlist.VM
	for _, vm := range vms {
		if !tried[vm.Name] {
			remaining = append(remaining, vm)
		}
	}
	return remaining
}

func (e *Entry) slotOwner(c *serviceCall) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slotOwners[c.slotKey()]
}

func (e *Entry) setSlotOwner(c *serviceCall, name string) {
	if c.key == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slotOwners[c.slotKey()] = name
}

func (e *Entry) forgetSlotOwner(c *serviceCall) { e.setSlotOwner(c, "") }

func (c *serviceCall) slotKey() string { return fmt.Sprintf("%s/%d", c.service, c.key.Slot()) }

func (e *Entry) recordCallEvent(kind timeline.Kind, c *serviceCall, target, detail string) {
	e.recordEvent(timeline.Event{
		Kind:      kind,
		RequestID: c.caller.requestID,
		Customer:  c.caller.customer.Name(),
		Target:    target,
		Model:     c.service,
		Detail:    detail,
	})
}

// writeCallReply writes the service's answer, or returns the error if there is none.
func writeCallReply(ctx *fasthttp.RequestCtx, reply *wire.CallReply) *errorResponse {
	outcome := outcomeName(reply.GetOutcome())
	if reply.GetStatus() == 0 {
		return callErrorResponse(reply, outcome)
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

// callErrorResponse turns a reply without an answer of the service into an error.
func callErrorResponse(reply *wire.CallReply, outcome string) *errorResponse {
	if reply.GetRefused().GetReason() == wire.RefusalReason_REFUSAL_SUSPECT {
		return crashingRequestError(outcome)
	}
	failed := serverError("service_unavailable", reply.GetDetail(), time.Duration(reply.GetRefused().GetRetryAfterMs())*time.Millisecond)
	failed.outcome = outcome
	switch {
	case reply.GetOutcome() == wire.Outcome_OUTCOME_RUN:
		failed.status, failed.code = fasthttp.StatusConflict, "answer_not_kept"
	case reply.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN:
		failed.status, failed.code = fasthttp.StatusBadGateway, "outcome_unknown"
	case reply.GetRefused().GetReason() == wire.RefusalReason_REFUSAL_KEY_REUSED:
		failed.status, failed.code, failed.errorType = fasthttp.StatusUnprocessableEntity, "idempotency_key_reused", "invalid_request_error"
		failed.retryAfter = 0
	}
	return failed
}
