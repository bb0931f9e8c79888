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
	outcomeHeader   = "Gypsumbank-Outcome"
	requestIDHeader = "Gypsumbank-Request-Id"
	replayedHeader  = "Idempotent-Replayed"
	keyHeader       = "Idempotency-Key"
	maxKeyLength    = 255
	servicePrefix   = "/services/"
	modelPrefix     = "/v1/models/"

	outcomeRun     = "run"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

var errLeaving = errors.New("entry is leaving")

// caller is an authenticated caller with what its plan allows.
type caller struct {
	customer  plan.Customer
	plan      allowance.Plan
	lists     *snapshot.Snapshot
	requestID string
}

func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if e.probe.Handle(ctx) {
		return
	}
	e.active.Add(1)
	defer e.active.Add(-1)
	requestID := newRequestID()
	ctx.Response.Header.Set(requestIDHeader, requestID)
	who, failed := e.authenticate(ctx, requestID)
	if failed != nil {
		failed.write(ctx)
		return
	}
	if failed := e.route(ctx, who); failed != nil {
		failed.write(ctx)
	}
}

func (e *Entry) route(ctx *fasthttp.RequestCtx, who *caller) *problem {
	path := string(ctx.Path())
	switch {
	case path == "/usage" && ctx.IsGet():
		return e.usage(ctx, who)
	case path == "/v1/models" && ctx.IsGet():
		e.models(ctx, who)
		return nil
	case strings.HasPrefix(path, modelPrefix) && ctx.IsGet():
		return e.model(ctx, who, strings.TrimPrefix(path, modelPrefix))
	case path == "/v1/chat/completions" && ctx.IsPost():
		return e.complete(ctx, who, true)
	case path == "/v1/completions" && ctx.IsPost():
		return e.complete(ctx, who, false)
	case path == "/v1/models", path == "/v1/chat/completions", path == "/v1/completions":
		return invalid(fasthttp.StatusMethodNotAllowed, "method_not_allowed", "the method is not allowed here")
	case strings.HasPrefix(path, servicePrefix):
		return e.call(ctx, who)
	}
	return invalid(fasthttp.StatusNotFound, "not_found", "no such path")
}

func (e *Entry) authenticate(ctx *fasthttp.RequestCtx, requestID string) (*caller, *problem) {
	lists, err := e.node.Snapshot()
	if err != nil {
		return nil, unavailable("starting", err.Error(), time.Second)
	}
	key, ok := keyOf(ctx)
	customer, known := lists.Plans().Authenticate(key)
	if !ok || !known {
		ctx.Response.Header.Set("WWW-Authenticate", `Basic realm="gypsumbank"`)
		return nil, invalid(fasthttp.StatusUnauthorized, "invalid_api_key", "the bearer key is missing or not known")
	}
	allowed, ok := lists.Allowances().Plan(customer.Plan())
	if !ok {
		return nil, invalid(fasthttp.StatusForbidden, "no_plan", "the customer's plan is not listed")
	}
	return &caller{customer: customer, plan: allowed, lists: lists, requestID: requestID}, nil
}

// keyOf returns the caller's key: a bearer key, or the password of basic authentication as browsers send it.
func keyOf(ctx *fasthttp.RequestCtx) (string, bool) {
	header := string(ctx.Request.Header.Peek("Authorization"))
	if key, ok := strings.CutPrefix(header, "Bearer "); ok {
		return key, true
	}
	encoded, ok := strings.CutPrefix(header, "Basic ")
	if !ok {
		return "", false
	}
	pair, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return "", false
	}
	_, key, ok := strings.Cut(string(pair), ":")
	return key, ok
}

// admit applies the limits of the caller's plan; the returned function ends the request with the tokens that it used.
func (e *Entry) admit(who *caller) (func(tokens int), *problem) {
	entries := len(e.node.Roster().EntryVMs())
	err := e.limiter.Begin(who.customer.Name(), who.plan, entries)
	var exceeded *limiter.ExceededError
	if errors.As(err, &exceeded) {
		return nil, &problem{
			status:     fasthttp.StatusTooManyRequests,
			kind:       "rate_limit_error",
			code:       "plan_limit_exceeded",
			message:    err.Error(),
			outcome:    outcomeNotRun,
			retryAfter: exceeded.RetryAfter,
		}
	}
	return func(tokens int) { e.limiter.End(who.customer.Name(), tokens) }, nil
}

// usage shows the use of every member, as a page to browsers and as JSON to others.
func (e *Entry) usage(ctx *fasthttp.RequestCtx, who *caller) *problem {
	counted := e.node.Meter()
	report := usage.New(who.lists.Allowances().MemberShares(), nil, counted.Totals(), counted.All())
	write := report.WriteJSON
	ctx.SetContentType("application/json")
	if strings.Contains(string(ctx.Request.Header.Peek("Accept")), "text/html") {
		write = report.WriteHTML
		ctx.SetContentType("text/html; charset=utf-8")
	}
	if err := write(ctx); err != nil {
		return unavailable("usage_unavailable", err.Error(), time.Second)
	}
	return nil
}

func (e *Entry) models(ctx *fasthttp.RequestCtx, who *caller) {
	names, parents := allowedModels(who)
	ctx.SetContentType("application/json")
	ctx.SetBody(completion.EncodeModelList(names, parents))
}

// model describes one model; one that the plan does not allow is answered like one that does not exist.
func (e *Entry) model(ctx *fasthttp.RequestCtx, who *caller, name string) *problem {
	names, parents := allowedModels(who)
	if !slices.Contains(names, name) {
		return invalid(fasthttp.StatusNotFound, "model_not_found", "the model does not exist or the plan does not allow it")
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(completion.EncodeModel(name, parents[name]))
	return nil
}

// allowedModels returns the models and adapters that the caller's plan allows and the models of the adapters.
func allowedModels(who *caller) (names []string, parents map[string]string) {
	parents = map[string]string{}
	for _, model := range who.lists.Allowances().Models() {
		if who.plan.AllowsModel(model.Name) {
			names = append(names, model.Name)
		}
	}
	for _, adapter := range who.lists.Allowances().Adapters() {
		if who.plan.AllowsAdapter(adapter.Name) {
			names = append(names, adapter.Name)
			parents[adapter.Name] = adapter.Base
		}
	}
	return names, parents
}

func newRequestID() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw)
	return "req-" + hex.EncodeToString(raw)
}
