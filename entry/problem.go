package entry

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"gypsumbank/completion"
	"gypsumbank/wire"
)

// problem is an answer other than success.
type problem struct {
	status     int
	kind       string
	code       string
	message    string
	outcome    string
	retryAfter time.Duration
}

// unreadable answers requests that could not be read.
func (e *Entry) unreadable(ctx *fasthttp.RequestCtx, err error) {
	failed := invalid(fasthttp.StatusBadRequest, "malformed_request", "the request could not be read")
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		failed = invalid(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than allowed")
	case errors.As(err, &small):
		failed = invalid(fasthttp.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "the headers are larger than allowed")
	case errors.As(err, &timeout) && timeout.Timeout():
		failed = invalid(fasthttp.StatusRequestTimeout, "request_timeout", "the request did not arrive in time")
	}
	failed.write(ctx)
	ctx.SetConnectionClose()
}

func invalid(status int, code, message string) *problem {
	return &problem{status: status, kind: "invalid_request_error", code: code, message: message, outcome: outcomeNotRun}
}

func unavailable(code, message string, retryAfter time.Duration) *problem {
	return &problem{
		status:     fasthttp.StatusServiceUnavailable,
		kind:       "server_error",
		code:       code,
		message:    message,
		outcome:    outcomeNotRun,
		retryAfter: retryAfter,
	}
}

func (p *problem) write(ctx *fasthttp.RequestCtx) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gypsumbank_problems_total{code=%q,outcome=%q}`, p.code, p.outcome)).Inc()
	ctx.SetStatusCode(p.status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(outcomeHeader, p.outcome)
	if p.retryAfter > 0 {
		seconds := math.Ceil(p.retryAfter.Seconds())
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	ctx.SetBody(p.encode())
}

func (p *problem) encode() []byte {
	return completion.ErrorBody{Message: p.message, Type: p.kind, Code: p.code}.Encode()
}

func outcomeName(outcome wire.Outcome) string {
	switch outcome {
	case wire.Outcome_OUTCOME_RUN:
		return outcomeRun
	case wire.Outcome_OUTCOME_NOT_RUN:
		return outcomeNotRun
	case wire.Outcome_OUTCOME_UNKNOWN, wire.Outcome_OUTCOME_UNSPECIFIED:
	}
	return outcomeUnknown
}
