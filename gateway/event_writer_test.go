package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbank/delivery"
	"gypsumbank/framing"
	"gypsumbank/sender"
)

// flushRecorder is a writer of answers that records when what it was given is flushed. It fails the test if it is used by two at once.
type flushRecorder struct {
	t       *testing.T
	header  http.Header
	began   time.Time
	pending bytes.Buffer
	flushes []string // time in ms and bytes of each
	fails   atomic.Bool
	inUse   atomic.Bool
	blocked chan struct{} // unless nil, a flush tells that it waits, and waits for a second value
	isIdle  atomic.Bool   // a flush that has waited has ended
}

func newFlushRecorder(t *testing.T) *flushRecorder {
	return &flushRecorder{t: t, header: http.Header{}, began: time.Now()}
}

func (r *flushRecorder) use() (end func()) {
	if r.inUse.Swap(true) {
		r.t.Error("the writer is used by two at once")
	}
	return func() { r.inUse.Store(false) }
}

// Header implements http.ResponseWriter.
func (r *flushRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *flushRecorder) WriteHeader(int) { r.use()() }

// Write implements http.ResponseWriter.
func (r *flushRecorder) Write(p []byte) (int, error) {
	defer r.use()()
	return r.pending.Write(p)
}

// FlushError is called by http.ResponseController.
func (r *flushRecorder) FlushError() error {
	defer r.use()()
	if r.blocked != nil {
		r.blocked <- struct{}{}
		<-r.blocked
		r.isIdle.Store(true)
	}
	if r.fails.Load() {
		return net.ErrClosed
	}
	r.flushes = append(r.flushes, fmt.Sprintf("%d:%s", time.Since(r.began).Milliseconds(), r.pending.String()))
	r.pending.Reset()
	return nil
}

// streamAnswer returns an answer of a stream to a caller, which has begun.
func streamAnswer(w http.ResponseWriter, hold time.Duration, leave func()) *callerAnswer {
	answer := &callerAnswer{writer: w, announce: func(net.Conn, http.Header) {}, hasChunks: true}
	answer.holdEvents(hold, leave)
	answer.begin(eventResponse(), true)
	return answer
}

func eventResponse() *sender.Response {
	return &sender.Response{Status: http.StatusOK, Length: -1, Framing: framing.Chunks, Header: http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}}}
}

// TestWhichAnswersAreHeld has events arrive at 0, 30 and 60 ms and the answer end at 130 ms. It guards against events that are held beyond their
// time, and against answers that are held though they are no streams of events.
func TestWhichAnswersAreHeld(t *testing.T) {
	const atOnce, held = "0:a\n\n 30:b\n\n 60:c\n\n", "0:a\n\n 100:b\n\nc\n\n"
	cases := map[string]struct {
		boundMs   int
		change    func(*callerAnswer, *sender.Response)
		notStream bool
		want      string
	}{
		"no bound":                       {want: atOnce},
		"a short bound":                  {boundMs: 100, want: atOnce},
		"the earlier deployments' bound": {boundMs: 120, want: atOnce},
		"200 ms":                         {boundMs: 200, want: held},
		"1 s":                            {boundMs: 1000, want: "0:a\n\n 130:b\n\nc\n\n"},
		"a caller of HTTP/1.0": {boundMs: 200, want: held + " 130:", change: func(a *callerAnswer, _ *sender.Response) {
			a.hasChunks = false
		}},
		"a stream that ends with its connection": {boundMs: 200, want: held + " 130:", change: func(_ *callerAnswer, r *sender.Response) {
			r.Framing = framing.Connection
		}},
		"an answer with a length": {boundMs: 200, want: "", change: func(_ *callerAnswer, r *sender.Response) {
			r.Length, r.Framing = 9, framing.Length
		}},
		"another kind of answer": {boundMs: 200, want: atOnce, change: func(_ *callerAnswer, r *sender.Response) {
			r.Header.Set("Content-Type", "text/plain")
		}},
		"an error": {boundMs: 200, want: atOnce, change: func(_ *callerAnswer, r *sender.Response) {
			r.Status = http.StatusServiceUnavailable
		}},
		"a route without streams": {boundMs: 200, notStream: true, want: atOnce},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder := newFlushRecorder(t)
				answer := &callerAnswer{writer: recorder, announce: func(net.Conn, http.Header) {}, hasChunks: true}
				answer.holdEvents(delivery.HoldTime(time.Duration(c.boundMs)*time.Millisecond), func() { t.Error("the caller counts as gone") })
				defer answer.close()
				response := eventResponse()
				if c.change != nil {
					c.change(answer, response)
				}
				answer.begin(response, !c.notStream)
				for _, part := range []string{"a\n\n", "b\n\n", "c\n\n"} {
					if err := answer.write([]byte(part)); err != nil {
						t.Error(err)
					}
					time.Sleep(30 * time.Millisecond)
				}
				time.Sleep(40 * time.Millisecond)
				if err := errors.Join(answer.writeHeldEvents(), answer.finish()); err != nil {
					t.Error(err)
				}
				if got := strings.Join(recorder.flushes, " "); got != c.want {
					t.Errorf("flushes (ms:bytes) %q, want %q", got, c.want)
				}
			})
		})
	}
}

// TestTimerWritesWhatATargetLeavesBehind guards against events that are not written as their target is silent, and against a timer that is set only once.
func TestTimerWritesWhatATargetLeavesBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := newFlushRecorder(t)
		answer := streamAnswer(recorder, 100*time.Millisecond, func() { t.Error("the caller counts as gone") })
		defer answer.close()
		for _, pause := range []time.Duration{10, 20, 10, 500, 10, 10, 1000, 10} {
			if err := answer.write([]byte("e\n\n")); err != nil {
				t.Error(err)
			}
			time.Sleep(pause * time.Millisecond)
		}
		time.Sleep(time.Hour)
		const e = "e\n\n"
		want := strings.Join([]string{"0:" + e, "100:" + e + e + e, "540:" + e, "640:" + e + e, "1560:" + e}, " ")
		if got := strings.Join(recorder.flushes, " "); got != want {
			t.Errorf("flushes (ms:bytes) %q, want %q", got, want)
		}
		if answer.eventWrites() != 5 {
			t.Errorf("%d writes are counted, want 5", answer.eventWrites())
		}
	})
}

// TestTimerFindsThatTheCallerHasGone guards against streams whose caller has gone and that go on until their target's next event, as only the timer met
// the error.
func TestTimerFindsThatTheCallerHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := newFlushRecorder(t)
		left := atomic.Int64{}
		answer := streamAnswer(recorder, 100*time.Millisecond, func() { left.Add(1) })
		defer answer.close()
		if err := errors.Join(answer.write([]byte("a\n\n")), answer.write([]byte("b\n\n"))); err != nil {
			t.Error(err)
		}
		recorder.fails.Store(true)
		time.Sleep(99 * time.Millisecond)
		synctest.Wait()
		if left.Load() != 0 {
			t.Error("the exchange ends before the events are due")
		}
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if left.Load() != 1 {
			t.Errorf("the exchange is ended %d times at the hold time, want once", left.Load())
		}
		for name, err := range map[string]error{"write": answer.write([]byte("c\n\n")), "held events": answer.writeHeldEvents()} {
			if !errors.Is(err, errCallerWrite) {
				t.Errorf("%s: error %v, want that the caller does not take the answer", name, err)
			}
		}
		time.Sleep(time.Hour)
		if left.Load() != 1 || len(recorder.flushes) != 1 {
			t.Errorf("the exchange is ended %d times and %d writes succeeded, want one each", left.Load(), len(recorder.flushes))
		}
	})
}

// TestNothingIsWrittenAfterTheHandler guards against a timer that uses the writer of a handler that has ended.
func TestNothingIsWrittenAfterTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := newFlushRecorder(t)
		answer := streamAnswer(recorder, 100*time.Millisecond, func() { t.Error("the caller counts as gone") })
		if err := errors.Join(answer.write([]byte("a\n\n")), answer.write([]byte("b\n\n"))); err != nil {
			t.Error(err)
		}
		answer.close()
		recorder.use() // the writer belongs to net/http again
		time.Sleep(time.Hour)
		answer.events.flushDue() // of a timer that fired before it was stopped
		if err := answer.write([]byte("c\n\n")); !errors.Is(err, errAnswerEnded) {
			t.Errorf("write after the end: error %v", err)
		}
		if len(recorder.flushes) != 1 {
			t.Errorf("flushes %q, want the first event only", recorder.flushes)
		}
	})
}

// TestHandlerEndsAfterTheTimersWrite guards against a handler that ends while the timer writes to a caller that does not read.
func TestHandlerEndsAfterTheTimersWrite(t *testing.T) {
	recorder := newFlushRecorder(t)
	answer := streamAnswer(recorder, time.Hour, func() { t.Error("the caller counts as gone") })
	if err := errors.Join(answer.write([]byte("a\n\n")), answer.write([]byte("b\n\n"))); err != nil {
		t.Error(err)
	}
	recorder.blocked = make(chan struct{})
	var timer sync.WaitGroup
	timer.Go(func() { // as flushDue at the hold time
		answer.events.mu.Lock()
		defer answer.events.mu.Unlock()
		_ = answer.events.flushLocked(time.Now())
	})
	<-recorder.blocked
	closed := make(chan bool)
	go func() {
		answer.close()
		closed <- recorder.isIdle.Load()
	}()
	select {
	case <-closed:
		t.Fatal("the handler ends during the timer's write")
	case <-time.After(20 * time.Millisecond):
	}
	recorder.blocked <- struct{}{}
	if !<-closed {
		t.Error("the handler ends before the timer's write")
	}
	timer.Wait()
}

// TestTimersOfHandlersThatEndAtAnyMoment has handlers of net/http write events and end, abort or lose their caller while their timers fire. It guards against
// a timer that uses a writer together with the handler or after it, which ends the process.
func TestTimersOfHandlersThatEndAtAnyMoment(t *testing.T) {
	const hold, rounds, workers, maxEvents = 500 * time.Microsecond, 60, 4, 8
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, leave := context.WithCancel(r.Context())
		defer leave()
		answer := newCallerAnswer(w, r, func(net.Conn, http.Header) {})
		answer.holdEvents(hold, leave)
		defer answer.close()
		answer.begin(eventResponse(), true)
		events, abort := 0, r.URL.Query().Has("abort")
		_, _ = fmt.Sscan(r.URL.Query().Get("events"), &events)
		for i := range events {
			if answer.write(fmt.Appendf(nil, "id: %d\n\n", i)) != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(rand.N(2 * hold))
		}
		if abort {
			panic(http.ErrAbortHandler)
		}
		if errors.Join(answer.writeHeldEvents(), answer.finish()) != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range rounds {
				events, abort := 1+rand.N(maxEvents), rand.N(2) == 0
				url := fmt.Sprintf("%s/?events=%d", server.URL, events)
				if abort {
					url += "&abort"
				}
				response, err := http.Get(url)
				if err != nil {
					continue // aborted before the first flush was read
				}
				if rand.N(4) == 0 {
					response.Body.Close()
					continue
				}
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				var want strings.Builder
				for i := range events {
					fmt.Fprintf(&want, "id: %d\n\n", i)
				}
				if !strings.HasPrefix(want.String(), string(body)) || (!abort && (err != nil || len(body) != want.Len())) || (abort && err == nil) {
					t.Errorf("body %q, %v; want %q, aborted: %v", body, err, want.String(), abort)
				}
			}
		})
	}
	group.Wait()
}
