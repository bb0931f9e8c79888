package entry

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"gypsumbank/completion"
	"gypsumbank/wire"
)

// errorResponse is the answer to a request that failed; errorType and code become the fields type and code of the error
// in the JSON body.
type errorResponse struct {
	status     int
	errorType  string
	code       string
	message    string
	outcome    string
	retryAfter time.Duration
}

// serveReadError answers a request that could not be read and closes its connection.
func (e *Entry) serveReadError(ctx *fasthttp.RequestCtx, err error) {
	failed := clientError(fasthttp.StatusBadRequest, "malformed_request", "the request could not be read")
	var headersTooLarge *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		failed = bodyTooLargeError()
	case errors.As(err, &headersTooLarge):
		failed = clientError(fasthttp.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "the headers are larger than allowed")
	case errors.As(err, &timeout) && timeout.Timeout():
		failed = clientError(fasthttp.StatusRequestTimeout, "request_timeout", "the request did not arrive in time")
	}
	failed.write(ctx)
	ctx.SetConnectionClose()
}

// clientError returns the error for a request that the caller must correct, with the outcome not-run.
func clientError(status int, code, message string) *errorResponse {
	return &errorResponse{status: status, errorType: "invalid_request_error", code: code, message: message, outcome: outcomeNotRun}
}

// serverError returns an error with status 503, the outcome not-run and, unless retryAfter is zero, a Retry-After
// header.
func serverError(code, message string, retryAfter time.Duration) *errorResponse {
	return &errorResponse{
		status:     fasthttp.StatusServiceUnavailable,
		errorType:  "server_error",
		code:       code,
		message:    message,
		outcome:    outcomeNotRun,
		retryAfter: retryAfter,
	}
}

// outdatedListsRetryAfter is the Retry-After while the entry can't know whether there are newer lists.
const outdatedListsRetryAfter = time.Second

// lacking returns the error for a request that is refused for what the lists in force lack: the given one, which is final, or one that is not while newer lists may exist.
// It logs what decided it.
func (e *Entry) lacking(requestID string, listsVersion uint64, final *errorResponse) *errorResponse {
	answer := final
	if e.node.ListsMayBeOutdated() {
		answer = serverError("lists_outdated", "the entry cannot know whether newer lists have what is asked for", outdatedListsRetryAfter)
	}
	age, ok := e.node.ListsAge()
	ageMs := age.Milliseconds()
	if !ok {
		ageMs = -1
	}
	e.log.WithFields(logrus.Fields{
		"request": requestID, "lacks": final.code, "code": answer.code, "status": answer.status, "lists-version": listsVersion, "lists-age-ms": ageMs,
	}).Info("refused")
	return answer
}

func (p *errorResponse) write(ctx *fasthttp.RequestCtx) {
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

func (p *errorResponse) encode() []byte {
	return completion.ErrorBody{Message: p.message, Type: p.errorType, Code: p.code}.Encode()
}

// outcomeName returns the value of the outcome header.
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
