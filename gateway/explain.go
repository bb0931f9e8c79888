package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"gypsumbank/customer"
	"gypsumbank/dispatch"
	"gypsumbank/explain"
	"gypsumbank/fleet"
	"gypsumbank/platform"
	"gypsumbank/probe"
	"gypsumbank/quota"
	"gypsumbank/request"
	"gypsumbank/route"
)

// maxExplainedTargets bounds the candidates and the targets left out that an explanation lists, each.
const maxExplainedTargets = 200

// serveMetrics serves the metrics and explanations of requests until ctx ends.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	server := probe.New(g.config.Gateway.Metrics, g.checkReady)
	server.Add(explain.Path, 2*explain.MaxRequestBytes, g.explanationHandler()) // what is a little too long is read and refused with a reason
	return server.Run(ctx)
}

// explanationHandler returns the handler that explains requests, one at a time.
func (g *Gateway) explanationHandler() fasthttp.RequestHandler {
	var explaining sync.Mutex
	return func(ctx *fasthttp.RequestCtx) {
		if !ctx.IsPost() {
			ctx.Error("explanations are asked for by POST\n", fasthttp.StatusMethodNotAllowed)
			return
		}
		if len(ctx.PostBody()) > explain.MaxRequestBytes {
			ctx.Error(explain.ErrTooLarge.Error()+"\n", fasthttp.StatusRequestEntityTooLarge)
			return
		}
		if !explaining.TryLock() {
			ctx.Error("another request is being explained, try again\n", fasthttp.StatusServiceUnavailable)
			return
		}
		defer explaining.Unlock()
		outcome := "invalid"
		defer func() {
			metrics.GetOrCreateCounter(`gypsumbank_gateway_explanations_total{outcome="` + outcome + `"}`).Inc()
		}()
		explanation, err := g.explainJSON(ctx.PostBody())
		if err != nil {
			ctx.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
			return
		}
		outcome = string(explanation.Outcome)
		ctx.SetContentType("application/json")
		_ = json.NewEncoder(ctx).Encode(explanation) // writes to a response in memory do not fail
	}
}

// errNotJSON does not have the text of the decoder's error, which quotes parts of its input.
var errNotJSON = fmt.Errorf("%w: it is not JSON of the known fields", explain.ErrInvalid)

// explainJSON explains a request that is given as JSON.
func (g *Gateway) explainJSON(body []byte) (*explain.Explanation, error) {
	var asked explain.Request
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&asked); err != nil {
		return nil, errNotJSON
	}
	if err := asked.Check(); err != nil {
		return nil, err
	}
	return g.explain(&asked, time.Now())
}

// errUnknownCustomer reports a name that the routes do not list, and errTwoCustomers a request with a key beside a name.
var (
	errUnknownCustomer = errors.New("the routes in force list no customer of this name")
	errTwoCustomers    = fmt.Errorf("%w: a key and the name of a customer are given, only one of them can be used", explain.ErrInvalid)
)

// explain tells what the gateway would do with a request, in the order of serve. It changes nothing, sends nothing and asks nobody.
func (g *Gateway) explain(asked *explain.Request, now time.Time) (*explain.Explanation, error) {
	e := &explain.Explanation{Gateway: g.config.Node.Name, At: now, Outcome: explain.Sent}
	if g.lastAnswers.Err() != nil {
		refuseExplained(e, dispatch.Stopping, http.StatusServiceUnavailable, dispatch.StoppingRetryAfter)
		return e, nil
	}
	table := g.routeTable.Load()
	if table == nil {
		refuseExplained(e, dispatch.NoRoutes, http.StatusServiceUnavailable, time.Second)
		e.Notes = append(e.Notes, "the gateway has no routes yet")
		return e, nil
	}
	e.RoutesVersion = table.Version()
	r := &http.Request{Method: asked.Method, Host: asked.Host, RequestURI: asked.Path, Header: asked.Header()}
	req := platform.DecodeRequest(r, now)
	matched := table.Match(req.Host, req.Path)
	if matched == nil {
		reason, status, retryAfter := g.refusalWithoutRoute(table, now)
		refuseExplained(e, reason, status, retryAfter)
		return e, nil
	}
	service := matched.PickService(xxhash.Sum64String(req.ID))
	e.Route = explainedRoute(matched, service)
	if err := g.explainCustomer(e, asked, platform.Key(r), req, table, matched); err != nil || e.Refusal != nil {
		return e, err
	}
	g.explainQuota(e, req, table, platform.NamesTokens(r), now)
	if e.Refusal != nil {
		return e, nil
	}
	excluded := map[string]bool{}
	for _, id := range asked.Exclude {
		excluded[id] = true
	}
	g.explainDispatch(e, req, g.dispatcher.Explain(req, matched, service, excluded))
	return e, nil
}

// refuseExplained sets that the request would be refused.
func refuseExplained(e *explain.Explanation, reason dispatch.Reason, status int, retryAfter time.Duration) {
	e.Outcome, e.Refusal = explain.Refused, &explain.Refusal{Reason: string(reason), Status: status, RetryAfterMs: milliseconds(retryAfter)}
}

func explainedRoute(matched *route.Route, service string) *explain.Route {
	r := &explain.Route{
		Name: matched.Name, Host: matched.Host, Prefix: matched.Prefix, Kind: matched.Kind.String(), Resumable: matched.Resumable, Public: matched.Public,
		MaxAttempts: matched.MaxAttempts, Service: service,
	}
	for _, b := range matched.Backends {
		r.Backends = append(r.Backends, explain.Backend{Service: b.Service, Weight: b.Weight})
	}
	return r
}

// explainCustomer sets the customer and the priority of the request, or that it would be refused for want of a known key.
func (g *Gateway) explainCustomer(e *explain.Explanation, asked *explain.Request, key string, req *request.Request, table *route.Table, matched *route.Route) error {
	req.Priority = matched.Priority
	holder, check := (*route.Customer)(nil), "not-needed"
	named, ok := table.Customer(asked.Customer)
	if asked.Customer != "" && !ok {
		return errUnknownCustomer
	}
	switch {
	case asked.Customer != "" && key != "":
		return errTwoCustomers
	case asked.Customer != "" && !g.keysTooOld(time.Now()):
		holder, check = named, "given-by-name"
	case table.HasCustomers():
		found, result, d := g.findHolder(table, matched, key, req.Arrived)
		if result != customer.Accepted {
			reason, status, retryAfter := keyRefusal(result, d)
			refuseExplained(e, reason, status, retryAfter)
			e.Customer = &explain.Customer{KeyCheck: string(reason), Priority: req.Priority}
			return nil
		}
		if holder = found; holder != nil {
			check = "accepted"
		}
	}
	if table.HasCustomers() {
		req.Priority = table.Priority(holder, matched)
	}
	e.Customer = &explain.Customer{KeyCheck: check, Priority: req.Priority}
	if holder != nil {
		req.Customer, e.Customer.Name = holder.Name, holder.Name
	}
	return nil
}

// explainQuota sets what is known of the quota of the request's customer, as in chargeQuota.
func (g *Gateway) explainQuota(e *explain.Explanation, req *request.Request, table *route.Table, namesTokens bool, now time.Time) {
	holder, ok := table.Customer(req.Customer)
	if !ok || !holder.Quota.IsLimited() {
		return
	}
	limit := holder.Quota
	e.Quota = &explain.Quota{
		Unit: map[route.Unit]string{route.Requests: "requests", route.Tokens: "tokens"}[limit.Unit], PerSecond: limit.PerSecond, Burst: limit.Burst,
		Cost: limit.Cost(req.PromptTokens, req.MaxOutputTokens, namesTokens), Prospect: "not-known",
	}
	outlook, version, ok := g.quotas.outlook(holder.Name, e.Quota.Cost, now)
	if !ok {
		e.Notes = append(e.Notes, "this gateway has had no request of the customer within the last minute, and would ask an agent")
		explainWait(e, explain.Wait{Cause: explain.WaitForQuota})
		return
	}
	e.Quota.Held, e.Quota.Expected, e.Quota.Keepers, e.Quota.Reachable = outlook.Balance, outlook.Expected, outlook.Keepers, outlook.Reachable
	e.Quota.Prospect, e.Quota.Keeper, e.Quota.WaitingBefore, e.Quota.AccountVersion = outlook.Prospect.String(), outlook.Keeper, outlook.Waiting, version
	switch {
	case outlook.Prospect == quota.Covered:
	case version != table.Version():
		e.Notes = append(e.Notes, "the account still has the limit of earlier routes, and takes up the new one with the next request")
		explainWait(e, explain.Wait{Cause: explain.WaitForQuota})
	case outlook.Prospect == quota.ToBeAsked || outlook.Prospect == quota.BehindOthers:
		explainWait(e, explain.Wait{Cause: explain.WaitForQuota, Ahead: outlook.Waiting})
	case outlook.Prospect == quota.WithoutKeeper:
		refuseExplained(e, dispatch.QuotaUnknown, http.StatusTooManyRequests, outlook.Wait)
	default:
		refuseExplained(e, dispatch.QuotaExceeded, http.StatusTooManyRequests, outlook.Wait)
	}
}

// explainWait adds a wait.
func explainWait(e *explain.Explanation, wait explain.Wait) {
	e.Outcome = explain.Waits
	e.Waits = append(e.Waits, wait)
}

// explainDispatch sets what the dispatcher expects of the request.
func (g *Gateway) explainDispatch(e *explain.Explanation, req *request.Request, p dispatch.Prospect) {
	e.Request = &explain.Decoded{
		ID: req.ID, Model: req.Model, Adapter: req.Adapter, PromptTokens: req.PromptTokens, MaxOutputTokens: req.MaxOutputTokens, PromptParts: len(req.Parts),
		Resumed: req.LastEventID != "", DeadlineMs: milliseconds(p.Left), FirstByteMs: milliseconds(p.FirstByteLeft),
	}
	e.Choice = explainedChoice(p)
	if p.Stopping {
		e.Notes = append(e.Notes, "the gateway stops, and refuses requests that may not end in time")
	}
	if p.UnknownVersion {
		e.Notes = append(e.Notes, "this gateway has not seen the stream begin; candidates are those of a new stream")
		explainWait(e, explain.Wait{Cause: explain.WaitForOrigin})
	}
	if p.Refused != nil {
		refuseExplained(e, p.Refused.Reason, http.StatusServiceUnavailable, p.Refused.RetryAfter)
		return
	}
	if p.Fleet.LacksModel {
		explainWait(e, explain.Wait{Cause: explain.WaitForModel, ExpectedMs: milliseconds(p.ModelETA)})
	}
	if p.Room != nil {
		explainWait(e, explain.Wait{Cause: explain.WaitForRoom, ExpectedMs: milliseconds(p.Room.Expected), Ahead: p.Room.Ahead})
	}
	if p.LoadsAdapter {
		explainWait(e, explain.Wait{Cause: explain.WaitForAdapter})
	}
	if p.NeedsTurn && g.agents.grantsTurns(p.Fleet.Candidates[0].Choice.Target.Address) {
		explainWait(e, explain.Wait{Cause: explain.WaitForTurn, ExpectedMs: milliseconds(p.TurnWait)})
	}
}

func explainedChoice(p dispatch.Prospect) *explain.Choice {
	c := &explain.Choice{Gateways: p.Fleet.Gateways, DrawnByShare: p.Fleet.Draws, LacksModel: p.Fleet.LacksModel, Candidates: []explain.Candidate{}, LeftOut: []explain.LeftOut{}}
	if p.SoftwareVersion != nil {
		c.SoftwareVersion = cmp.Or(string(*p.SoftwareVersion), "none")
	}
	listed := p.Fleet.Candidates[:min(len(p.Fleet.Candidates), maxExplainedTargets)]
	c.MoreCandidates = len(p.Fleet.Candidates) - len(listed)
	for i := range listed {
		c.Candidates = append(c.Candidates, explainedCandidate(&listed[i]))
	}
	omitted := p.Fleet.Omitted[:min(len(p.Fleet.Omitted), maxExplainedTargets)]
	c.MoreLeftOut = len(p.Fleet.Omitted) - len(omitted)
	for _, o := range omitted {
		c.LeftOut = append(c.LeftOut, explain.LeftOut{Target: o.Target.ID, Address: o.Target.Address, Zone: o.Target.AvailabilityZone, Why: string(o.Why), WaitMs: milliseconds(o.Wait)})
	}
	return c
}

func explainedCandidate(from *fleet.Candidate) explain.Candidate {
	choice := from.Choice
	out := explain.Candidate{
		Target: choice.Target.ID, Address: choice.Target.Address, Zone: choice.Target.AvailabilityZone, Share: from.Share, CostMs: from.Costs.Total(),
		ExpectedMs: milliseconds(choice.Expected), PrefillTokens: choice.PrefillTokens, FetchTokens: choice.FetchTokens, FetchFrom: choice.FetchFrom, LoadsAdapter: choice.LacksAdapter,
		HasRoom: choice.HasRoom, Connected: choice.Connected, ReportAgeMs: milliseconds(choice.ReportAge), TurnWaitMs: milliseconds(choice.TurnWait), Unseen: from.Unseen,
	}
	for part, ms := range from.Costs {
		if ms != 0 {
			out.Costs = append(out.Costs, explain.Cost{Part: fleet.CostPart(part).String(), Ms: ms})
		}
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
