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

// complete answers a request for a completion, streamed or whole.
func (e *Entry) complete(ctx *fasthttp.RequestCtx, who *caller, chat bool) *problem {
	request, err := completion.New(ctx.PostBody(), chat)
	if err != nil {
		return invalid(fasthttp.StatusBadRequest, "invalid_body", err.Error())
	}
	model, adapter, failed := resolve(who, request.Model())
	if failed != nil {
		return failed
	}
	fingerprint := suspect.Fingerprint(who.customer.Name(), model, adapter, request.Prompt())
	if e.node.Suspects().Blocked(fingerprint) {
		return crashing(outcomeNotRun)
	}
	end, failed := e.admit(who)
	if failed != nil {
		return failed
	}
	job := newJob(who, request, model, adapter, fingerprint)
	e.record(job.event(timeline.RequestAccepted, "", ""))
	return e.answer(ctx, job, end)
}

// resolve turns the name in a request into a model and, if the name is an adapter's, that adapter.
func resolve(who *caller, name string) (model, adapter string, failed *problem) {
	list := who.lists.Allowances()
	if _, ok := list.Model(name); ok && who.plan.AllowsModel(name) {
		return name, "", nil
	}
	if found, ok := list.Adapter(name); ok && who.plan.AllowsAdapter(name) {
		return found.Base, name, nil
	}
	return "", "", invalid(fasthttp.StatusNotFound, "model_not_found", "the model is not listed or not part of the plan")
}

func newJob(who *caller, request *completion.Request, model, adapter string, fingerprint uint64) *job {
	seed, given := request.Seed()
	if !given {
		seed = rand.Uint64()
	}
	return &job{
		caller:      who,
		started:     time.Now(),
		request:     request,
		model:       model,
		adapter:     adapter,
		seed:        seed,
		fingerprint: fingerprint,
		tokens:      make(chan string, tokenBuffer),
		ended:       make(chan *problem, 1),
	}
}

// answer starts a job, waits for its first token and writes the answer.
func (e *Entry) answer(ctx *fasthttp.RequestCtx, job *job, end func(tokens int)) *problem {
	running, cancel := context.WithCancelCause(context.Background())
	running, stop := context.WithTimeoutCause(running, e.config.Entry.RequestTimeout, errTimeout)
	go watchCaller(running, ctx.Conn(), cancel)
	go func() {
		failed := e.generate(running, job)
		end(job.used())
		job.ended <- failed
		close(job.tokens)
	}()
	finish := func() {
		cancel(nil)
		stop()
	}
	if job.request.Stream() {
		return e.answerStream(ctx, job, finish)
	}
	defer finish()
	return e.answerWhole(ctx, job)
}

func (e *Entry) answerWhole(ctx *fasthttp.RequestCtx, job *job) *problem {
	var text strings.Builder
	for token := range job.tokens {
		text.WriteString(token)
	}
	if failed := <-job.ended; failed != nil {
		return failed
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(outcomeHeader, outcomeRun)
	ctx.SetBody(job.request.Answer(job.caller.requestID, text.String(), job.reason, job.usage))
	return nil
}

func (e *Entry) answerStream(ctx *fasthttp.RequestCtx, job *job, finish func()) *problem {
	first, ok := <-job.tokens
	if !ok {
		failed := <-job.ended
		if failed != nil {
			finish()
			return failed
		}
		job.ended <- nil
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.Header.Set(outcomeHeader, outcomeRun)
	conn := ctx.Conn()
	e.active.Add(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.active.Add(-1)
		defer finish()
		e.stream(w, conn, job, first, ok)
	})
	return nil
}

// stream writes the events of an answer; an answer that cannot be completed ends with an error event and no end mark.
func (e *Entry) stream(w *bufio.Writer, conn net.Conn, job *job, first string, hasFirst bool) {
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
	if failed := <-job.ended; failed != nil {
		write(failed.encode())
		return
	}
	write(job.request.LastChunk(id, job.reason, job.usage))
	write([]byte("[DONE]"))
	_ = conn.SetWriteDeadline(time.Time{})
}

func writeEvent(w *bufio.Writer, data []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}
