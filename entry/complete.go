package entry

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"gypsumbank/completion"
	"gypsumbank/suspect"
	"gypsumbank/timeline"
)

// serveCompletion answers a request for a completion or, with chat set, for a chat completion.
func (e *Entry) serveCompletion(ctx *fasthttp.RequestCtx, caller *caller, chat bool) *errorResponse {
	request, err := completion.New(ctx.PostBody(), chat)
	if err != nil {
		return clientError(fasthttp.StatusBadRequest, "invalid_body", err.Error())
	}
	model, adapter, failed := e.resolveModel(caller, request.Model())
	if failed != nil {
		return failed
	}
	fingerprint := suspect.Fingerprint(caller.customer.Name(), model, adapter, request.Prompt())
	if e.node.Suspects().Blocked(fingerprint) {
		return crashingRequestError(outcomeNotRun)
	}
	release, failed := e.admit(caller)
	if failed != nil {
		return failed
	}
	job := newJob(caller, request, model, adapter, fingerprint)
	e.recordEvent(job.event(timeline.RequestAccepted, "", ""))
	return e.respond(ctx, job, release)
}

// resolveModel looks up the model name of a request. For the name of an adapter it returns the adapter's base model and
// the adapter.
func (e *Entry) resolveModel(caller *caller, name string) (model, adapter string, failed *errorResponse) {
	list := caller.snapshot.Allowances()
	if _, ok := list.Model(name); ok && caller.plan.AllowsModel(name) {
		return name, "", nil
	}
	if found, ok := list.Adapter(name); ok && caller.plan.AllowsAdapter(name) {
		return found.Base, name, nil
	}
	return "", "", e.lacking(caller.requestID, caller.snapshot.Version(), clientError(fasthttp.StatusNotFound, "model_not_found", "the model is not listed or not part of the plan"))
}

func newJob(caller *caller, request *completion.Request, model, adapter string, fingerprint uint64) *job {
	seed, hasSeed := request.Seed()
	if !hasSeed {
		seed = rand.Uint64()
	}
	return &job{
		caller:      caller,
		startedAt:   time.Now(),
		request:     request,
		model:       model,
		adapter:     adapter,
		seed:        seed,
		fingerprint: fingerprint,
		tokens:      make(chan string, tokenBufferSize),
		result:      make(chan *errorResponse, 1),
	}
}

// respond runs a job in the background and writes its answer, either as a stream or as a whole. The job is cancelled if
// the caller disconnects or the request timeout passes; release is called with the tokens used when the job has ended.
func (e *Entry) respond(ctx *fasthttp.RequestCtx, job *job, release func(tokens int)) *errorResponse {
	jobCtx, cancel := context.WithCancelCause(e.requests)
	jobCtx, stop := context.WithTimeoutCause(jobCtx, e.config.Entry.RequestTimeout, errRequestTimeout)
	go cancelOnDisconnect(jobCtx, ctx.Conn(), cancel)
	go func() {
		failed := e.generate(jobCtx, job)
		release(job.tokensUsed())
		job.result <- failed
		close(job.tokens)
	}()
	stopJob := func() {
		cancel(nil)
		stop()
	}
	if job.request.Stream() {
		return e.respondStream(ctx, job, stopJob)
	}
	defer stopJob()
	return e.respondWhole(ctx, job)
}

// respondWhole waits for the job to end and answers with a single JSON body.
func (e *Entry) respondWhole(ctx *fasthttp.RequestCtx, job *job) *errorResponse {
	var text strings.Builder
	for token := range job.tokens {
		text.WriteString(token)
	}
	if failed := <-job.result; failed != nil {
		return failed
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(outcomeHeader, outcomeRun)
	ctx.SetBody(job.request.Answer(job.caller.requestID, text.String(), job.finishReason, job.usage))
	return nil
}

// respondStream waits for the first token, so that a job that fails before it is answered with an HTTP error status,
// and then streams the answer. stopJob is called when the stream has ended.
func (e *Entry) respondStream(ctx *fasthttp.RequestCtx, job *job, stopJob func()) *errorResponse {
	first, ok := <-job.tokens
	if !ok {
		failed := <-job.result
		if failed != nil {
			stopJob()
			return failed
		}
		job.result <- nil
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.Header.Set(outcomeHeader, outcomeRun)
	conn := ctx.Conn()
	e.activeRequests.Add(1)
	job.caller.streams = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer job.caller.release()
		defer e.activeRequests.Add(-1)
		defer stopJob()
		e.writeStream(w, conn, job, first, ok)
	})
	return nil
}

// writeStream writes an answer as server-sent events. If the job fails, the stream ends with an error event and without
// the final [DONE] event.
func (e *Entry) writeStream(w *bufio.Writer, conn net.Conn, job *job, first string, hasFirst bool) {
	id := job.caller.requestID
	write := func(data []byte) bool {
		_ = conn.SetWriteDeadline(time.Now().Add(e.config.Entry.WriteTimeout))
		return writeEvent(w, data)
	}
	if hasFirst && !write(job.request.Chunk(id, first, true)) {
		return
	}
	for token := range job.tokens {
		if !write(job.request.Chunk(id, token, false)) {
			return
		}
	}
	if failed := <-job.result; failed != nil {
		write(failed.encode())
		return
	}
	write(job.request.LastChunk(id, job.finishReason, job.usage))
	write([]byte("[DONE]"))
	_ = conn.SetWriteDeadline(time.Time{})
}

func writeEvent(w *bufio.Writer, data []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
