package entry

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gypsumbank/allowance"
	"gypsumbank/completion"
	"gypsumbank/limiter"
	"gypsumbank/plan"
	"gypsumbank/snapshot"
	"gypsumbank/usage"
)

const (
	outcomeHeader          = "Gypsumbank-Outcome"
	requestIDHeader        = "Gypsumbank-Request-Id"
	replayedHeader         = "Idempotent-Replayed"
	idempotencyKeyHeader   = "Idempotency-Key"
	maxIdempotencyKeyBytes = 255
	servicePrefix          = "/services/"
	modelPrefix            = "/v1/models/"

	outcomeRun     = "run"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

var errDraining = errors.New("entry is leaving")

// caller is the authenticated sender of one request, with its plan and the lists that were in force on arrival.
type caller struct {
	customer  plan.Customer
	plan      allowance.Plan
	snapshot  *snapshot.Snapshot
	requestID string

	release func() // gives the memory of the request back
	streams bool   // the answer is a stream, whose end calls release
}

// handle answers a health probe or a request of a caller.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if isOversized(ctx) { // the body follows on the connection, which must not be read as a request
		e.refuseUnread(ctx, bodyTooLargeError())
		return
	}
	if e.probe.Handle(ctx) {
		return
	}
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	requestID := newRequestID()
	ctx.Response.Header.Set(requestIDHeader, requestID)
	caller, failed := e.authenticate(ctx, requestID)
	if failed != nil {
		e.refuseUnread(ctx, failed)
		return
	}
	hold := e.memory.Begin(caller.customer.Name())
	caller.release = hold.Release
	if failed := e.readBody(ctx, hold); failed != nil {
		hold.Release()
		e.refuseUnread(ctx, failed)
		return
	}
	failed = e.serveRequest(ctx, caller)
	if failed != nil {
		failed.write(ctx)
	}
	if !caller.streams {
		hold.Release()
	}
}

func (e *Entry) serveRequest(ctx *fasthttp.RequestCtx, caller *caller) *errorResponse {
	path := string(ctx.Path())
	switch {
	case path == "/usage" && ctx.IsGet():
		return e.serveUsage(ctx, caller)
	case path == "/v1/models" && ctx.IsGet():
		e.serveModelList(ctx, caller)
		return nil
	case strings.HasPrefix(path, modelPrefix) && ctx.IsGet():
		return e.serveModel(ctx, caller, strings.TrimPrefix(path, modelPrefix))
	case path == "/v1/chat/completions" && ctx.IsPost():
		return e.serveCompletion(ctx, caller, true)
	case path == "/v1/completions" && ctx.IsPost():
		return e.serveCompletion(ctx, caller, false)
	case path == "/v1/models", path == "/v1/chat/completions", path == "/v1/completions":
		return clientError(fasthttp.StatusMethodNotAllowed, "method_not_allowed", "the method is not allowed here")
	case strings.HasPrefix(path, servicePrefix):
		return e.serveServiceCall(ctx, caller)
	}
	return clientError(fasthttp.StatusNotFound, "not_found", "no such path")
}

func (e *Entry) authenticate(ctx *fasthttp.RequestCtx, requestID string) (*caller, *errorResponse) {
	snap, err := e.node.Snapshot()
	if err != nil {
		return nil, serverError("starting", err.Error(), time.Second)
	}
	key, ok := apiKey(ctx)
	customer, known := snap.Plans().Authenticate(key)
	if !ok || !known {
		failed := e.lacking(requestID, snap.Version(), clientError(fasthttp.StatusUnauthorized, "invalid_api_key", "the bearer key is missing or not known"))
		if failed.status == fasthttp.StatusUnauthorized {
			ctx.Response.Header.Set("WWW-Authenticate", `Basic realm="gypsumbank"`)
		}
		return nil, failed
	}
	callerPlan, ok := snap.Allowances().Plan(customer.Plan())
	if !ok {
		return nil, e.lacking(requestID, snap.Version(), clientError(fasthttp.StatusForbidden, "no_plan", "the customer's plan is not listed"))
	}
	return &caller{customer: customer, plan: callerPlan, snapshot: snap, requestID: requestID}, nil
}

// apiKey returns the caller's key: a bearer token, or the password of HTTP basic authentication, which browsers send.
func apiKey(ctx *fasthttp.RequestCtx) (string, bool) {
	header := string(ctx.Request.Header.Peek("Authorization"))
	if key, ok := strings.CutPrefix(header, "Bearer "); ok {
		return key, true
	}
	encoded, ok := strings.CutPrefix(header, "Basic ")
	if !ok {
		return "", false
	}
	credentials, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", false
	}
	_, key, ok := strings.Cut(string(credentials), ":")
	return key, ok
}

// admit applies the limits of the caller's plan. The returned function must be called when the request ends, with the
// number of completion tokens that it used.
func (e *Entry) admit(caller *caller) (func(tokens int), *errorResponse) {
	entryCount := len(e.node.Roster().EntryVMs())
	err := e.limiter.Begin(caller.customer.Name(), caller.plan, entryCount)
	var exceeded *limiter.ExceededError
	if errors.As(err, &exceeded) {
		return nil, &errorResponse{
			status:     fasthttp.StatusTooManyRequests,
			errorType:  "rate_limit_error",
			code:       "plan_limit_exceeded",
			message:    err.Error(),
			outcome:    outcomeNotRun,
			retryAfter: exceeded.RetryAfter,
		}
	}
	return func(tokens int) { e.limiter.End(caller.customer.Name(), tokens) }, nil
}

// serveUsage answers with the usage of every member: as an HTML page if the caller accepts that, else as JSON.
func (e *Entry) serveUsage(ctx *fasthttp.RequestCtx, caller *caller) *errorResponse {
	nodeMeter := e.node.Meter()
	report := usage.New(caller.snapshot.Allowances().MemberShares(), nil, nodeMeter.Totals(), nodeMeter.All())
	write := report.WriteJSON
	ctx.SetContentType("application/json")
	if strings.Contains(string(ctx.Request.Header.Peek("Accept")), "text/html") {
		write = report.WriteHTML
		ctx.SetContentType("text/html; charset=utf-8")
	}
	if err := write(ctx); err != nil {
		return serverError("usage_unavailable", err.Error(), time.Second)
	}
	return nil
}

func (e *Entry) serveModelList(ctx *fasthttp.RequestCtx, caller *caller) {
	names, parents := allowedModels(caller)
	ctx.SetContentType("application/json")
	ctx.SetBody(completion.EncodeModelList(names, parents))
}

// serveModel describes one model or adapter. If the plan does not allow it, the answer is the same as if it did not
// exist.
func (e *Entry) serveModel(ctx *fasthttp.RequestCtx, caller *caller, name string) *errorResponse {
	names, parents := allowedModels(caller)
	if !slices.Contains(names, name) {
		return e.lacking(caller.requestID, caller.snapshot.Version(), clientError(fasthttp.StatusNotFound, "model_not_found", "the model does not exist or the plan does not allow it"))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(completion.EncodeModel(name, parents[name]))
	return nil
}

// allowedModels returns the names of the models and adapters that the caller's plan allows, and the base model of each
// adapter in parents.
func allowedModels(caller *caller) (names []string, parents map[string]string) {
	parents = map[string]string{}
	for _, model := range caller.snapshot.Allowances().Models() {
		if caller.plan.AllowsModel(model.Name) {
			names = append(names, model.Name)
		}
	}
	for _, adapter := range caller.snapshot.Allowances().Adapters() {
		if caller.plan.AllowsAdapter(adapter.Name) {
			names = append(names, adapter.Name)
			parents[adapter.Name] = adapter.Base
		}
	}
	return names, parents
}

func newRequestID() string {
	randomBytes := make([]byte, 12)
	_, _ = rand.Read(randomBytes)
	return "req-" + hex.EncodeToString(randomBytes)
}
